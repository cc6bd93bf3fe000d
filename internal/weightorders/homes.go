package weightorders

import (
	"cmp"
	"math"
	"slices"

	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/rendezvous"
)

// homeShare is how many replicas keep up with one model, as a multiple of its
// share. More give room where others are busy; each takes loads.
const homeShare = 4.0 / 3

// homes gives each model the replicas that keep up with it. First each replica
// gets one model, so that each model has its share of them; then each model gets
// some more, so that models with much work find slots where others leave them. A
// replica that keeps up with few models loads seldom, and the loads that run at
// once are bounded.
func homes(replicas []*directory.Replica, shares []share) map[string][]*directory.Replica {
	kept := map[string][]*directory.Replica{}
	if len(shares) == 0 {
		return kept
	}
	whole := apportion(len(replicas), shares)
	ordered := slices.Clone(replicas)
	slices.SortFunc(ordered, func(a, b *directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	counts := map[string]int{}
	for _, replica := range ordered {
		model := preferred(shares, replica, func(model string) bool { return len(kept[model]) < whole[model] })
		kept[model] = append(kept[model], replica)
		counts[replica.ID]++
	}
	for _, share := range shares {
		most := min(len(replicas), int(math.Ceil(homeShare*share.part*float64(len(replicas)))))
		for len(kept[share.model]) < most {
			extra := leastShared(ordered, share.model, counts, kept[share.model])
			if extra == nil {
				break
			}
			kept[share.model] = append(kept[share.model], extra)
			counts[extra.ID]++
		}
	}
	return kept
}

// preferred is the model of greatest weight for a replica among those allowed.
func preferred(shares []share, replica *directory.Replica, allowed func(model string) bool) string {
	best, bestWeight := "", uint64(0)
	for _, share := range shares {
		weight := pairWeight(replica, share.model)
		if allowed(share.model) && (best == "" || weight > bestWeight) {
			best, bestWeight = share.model, weight
		}
	}
	return best
}

// leastShared is the replica with the fewest models that has not this one, and
// among those the one of greatest weight.
func leastShared(replicas []*directory.Replica, model string, counts map[string]int, has []*directory.Replica) *directory.Replica {
	var best *directory.Replica
	for _, replica := range replicas {
		if slices.Contains(has, replica) {
			continue
		}
		if best == nil || counts[replica.ID] < counts[best.ID] ||
			(counts[replica.ID] == counts[best.ID] && pairWeight(replica, model) > pairWeight(best, model)) {
			best = replica
		}
	}
	return best
}

func pairWeight(replica *directory.Replica, model string) uint64 {
	return rendezvous.Weight(rendezvous.Hash(replica.ID), rendezvous.Hash(model))
}
