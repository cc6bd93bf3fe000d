package placement

import "slices"

// Pick returns the least used replica that has room, nil for none. An item goes to no
// replica again that has failed it, as long as there are others.
func Pick(replicas []*Replica, failedAt []string) *Replica {
	var best *Replica
	failedEverywhere := len(failedAt) >= len(replicas)
	for _, candidate := range replicas {
		if !candidate.hasRoom() || (best != nil && candidate.use() >= best.use()) {
			continue
		}
		if failedEverywhere || !slices.Contains(failedAt, candidate.Name) {
			best = candidate
		}
	}
	return best
}
