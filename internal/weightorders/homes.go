package weightorders

import (
	"cmp"
	"math"
	"slices"

	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/rendezvous"
)

// homeShare is how many replicas keep up with one model, as a multiple of its
// share. More give room where others are busy; each takes loads. Equal shares and
// doubled ones were no better in trials (docs/PLATFORM.md, "Orders").
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
		for _, extra := range leastShared(ordered, share.model, counts, kept[share.model], most-len(kept[share.model])) {
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

// leastShared are some replicas that do not keep up with a model yet: those with
// the fewest models, and among these those of greatest weight.
func leastShared(replicas []*directory.Replica, model string, counts map[string]int, has []*directory.Replica, some int) []*directory.Replica {
	if some <= 0 {
		return nil
	}
	keeps := make(map[string]bool, len(has))
	for _, replica := range has {
		keeps[replica.ID] = true
	}
	var others []weighedReplica
	for _, replica := range replicas {
		if !keeps[replica.ID] {
			others = append(others, weighedReplica{Replica: replica, models: counts[replica.ID], weight: pairWeight(replica, model)})
		}
	}
	slices.SortFunc(others, func(a, b weighedReplica) int {
		return cmp.Or(cmp.Compare(a.models, b.models), cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	least := make([]*directory.Replica, 0, some)
	for _, other := range others[:min(some, len(others))] {
		least = append(least, other.Replica)
	}
	return least
}

// weighedReplica is a replica with how many models it keeps up with and its weight
// for a further one.
type weighedReplica struct {
	*directory.Replica
	models int
	weight uint64
}

func pairWeight(replica *directory.Replica, model string) uint64 {
	return rendezvous.Weight(rendezvous.Hash(replica.ID), rendezvous.Hash(model))
}
