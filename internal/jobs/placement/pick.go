package placement

import "slices"

// Preference is what an item asks of its replica.
type Preference struct {
	// FailedReplicas names the replicas that have failed the item.
	FailedReplicas []string
	// Urgent is set where a replica that does not answer would cost the item its time.
	Urgent bool
}

// Pick returns the least used replica that has room, nil for none. An item goes to no
// replica again that has failed it, and an urgent one to none that is unproven, as long
// as there are others.
func Pick(replicas []*Replica, preference Preference) *Replica {
	failedEverywhere := len(preference.FailedReplicas) >= len(replicas)
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

// lessUsed is the less used one of two replicas, the first if both are alike; the first
// may be nil.
func lessUsed(first, second *Replica) *Replica {
	if first == nil || second.use() < first.use() {
		return second
	}
	return first
}
