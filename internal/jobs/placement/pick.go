package placement

import "slices"

// Pick returns the least used replica that has room for an item, nil for none. Replicas
// that have failed the item are excluded unless every candidate has. An urgent item goes to
// an unproven replica only if no other has room.
func Pick(replicas []*Replica, preference Preference) *Replica {
	failedEverywhere := hasFailedAll(replicas, preference.FailedReplicas)
	var best, unproven *Replica
	for _, candidate := range replicas {
		if !candidate.hasRoom() || (!failedEverywhere && slices.Contains(preference.FailedReplicas, candidate.Name)) {
			continue
		}
		if preference.Urgent && candidate.unproven {
			unproven = lessUsed(unproven, candidate)
			continue
		}
		best = lessUsed(best, candidate)
	}
	if best == nil {
		return unproven
	}
	return best
}

// hasFailedAll reports whether each candidate is among the replicas that failed the item.
func hasFailedAll(replicas []*Replica, failed []string) bool {
	return !slices.ContainsFunc(replicas, func(candidate *Replica) bool { return !slices.Contains(failed, candidate.Name) })
}

// lessUsed returns the less used of two replicas, the first if both are equal. The first
// may be nil.
func lessUsed(first, second *Replica) *Replica {
	if first == nil || second.use() < first.use() {
		return second
	}
	return first
}
