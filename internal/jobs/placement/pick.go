package placement

import "slices"

// Pick returns the least used replica with a free slot, or nil if there is none. Replicas
// that have failed the item are excluded unless every candidate has failed it. An urgent item
// goes to a replica that may be down only if no other has a free slot.
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

// hasFailedAll reports whether all candidates have failed the item.
func hasFailedAll(replicas []*Replica, failed []string) bool {
	return !slices.ContainsFunc(replicas, func(candidate *Replica) bool { return !slices.Contains(failed, candidate.Name) })
}

// lessUsed returns the less used of two replicas, or the first if they are equal. The first
// may be nil.
func lessUsed(first, second *Replica) *Replica {
	if first == nil || second.use() < first.use() {
		return second
	}
	return first
}
