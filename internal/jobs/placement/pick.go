package placement

import "slices"

// Pick returns the least utilized replica with a free slot, or nil if there is none. Replicas
// that have failed the item are excluded unless every candidate has failed it. An urgent item
// goes to a replica that may be down only if no other has a free slot.
func Pick(replicas []*Replica, preference Preference) *Replica {
	allCandidatesFailed := allFailed(replicas, preference.FailedReplicas)
	var best, bestUnresponsive *Replica
	for _, candidate := range replicas {
		if !candidate.hasCapacity() || (!allCandidatesFailed && slices.Contains(preference.FailedReplicas, candidate.Name)) {
			continue
		}
		if preference.Urgent && candidate.unresponsive {
			bestUnresponsive = lessUtilized(bestUnresponsive, candidate)
			continue
		}
		best = lessUtilized(best, candidate)
	}
	if best == nil {
		return bestUnresponsive
	}
	return best
}

// allFailed reports whether all candidates have failed the item.
func allFailed(replicas []*Replica, failed []string) bool {
	return !slices.ContainsFunc(replicas, func(candidate *Replica) bool { return !slices.Contains(failed, candidate.Name) })
}

// lessUtilized returns the less utilized of two replicas, or the first if they are equal.
// The first may be nil.
func lessUtilized(first, second *Replica) *Replica {
	if first == nil || second.biasedUtilization() < first.biasedUtilization() {
		return second
	}
	return first
}
