package placement

import "slices"

// Wish is what an item asks of its replica.
type Wish struct {
	// FailedAt names the replicas that have failed the item.
	FailedAt []string
	// Urgent is set where a replica that does not answer would cost the item its time.
	Urgent bool
	// Keepers are the replicas that keep up with the item's model; empty for unknown.
	Keepers map[string]bool
}

// awayBias puts replicas that do not keep up with a model behind those that do, in
// full loads: they take its items once the others are full. Their weights are soon too
// old for it, and the connections to them of no more use.
const awayBias = 1.0

// use is how much a replica is used as the item sees it, in full loads.
func (w *Wish) use(replica *Replica) float64 {
	if len(w.Keepers) == 0 || w.Keepers[replica.Name] {
		return replica.use()
	}
	return replica.use() + awayBias
}

// Pick returns the least used replica that has room, nil for none. An item goes to no
// replica again that has failed it, and an urgent one to none that is unproven, as long
// as there are others.
func Pick(replicas []*Replica, wish Wish) *Replica {
	failedEverywhere := len(wish.FailedAt) >= len(replicas)
	var best, unproven *Replica
	for _, candidate := range replicas {
		if !candidate.hasRoom() || (!failedEverywhere && slices.Contains(wish.FailedAt, candidate.Name)) {
			continue
		}
		if wish.Urgent && candidate.unproven {
			unproven = wish.lessUsed(unproven, candidate)
			continue
		}
		best = wish.lessUsed(best, candidate)
	}
	if best == nil {
		return unproven
	}
	return best
}

// lessUsed is the less used one of two replicas, the first if both are alike; the first
// may be nil.
func (w *Wish) lessUsed(first, second *Replica) *Replica {
	if first == nil || w.use(second) < w.use(first) {
		return second
	}
	return first
}
