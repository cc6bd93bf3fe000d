package weightorders

import (
	"cmp"
	"math"
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// homeShare is how many replicas keep up with one model, as a multiple of its
// share. More give room where others are busy; each takes loads. Equal shares and
// doubled ones were no better in trials (docs/PLATFORM.md, "Orders").
const homeShare = 4.0 / 3

// homeHeadroom is how many slots the homes of a model have for each item of a job: the
// items of two jobs at once, while half of the homes load or are a version behind. More
// homes would take loads for nothing: of some thousand replicas, jobs of a hundred items
// use some dozen.
const homeHeadroom = 4

// unknownHomes is how many replicas a model has at most while nothing is known of its
// jobs: a node that has just taken the orders over hears of them within a second, and is
// not to begin with thousands of loads.
const unknownHomes = 256

// mostHomes is how many replicas a model needs for jobs of some items, 0 for unknown.
func mostHomes(items, slots int) int {
	if items <= 0 {
		return unknownHomes
	}
	slots = max(1, slots)
	return max(leastHomes, (homeHeadroom*items+slots-1)/slots)
}

// leastHomes is how many replicas a model has however small its jobs are, so that the
// loss of one stops nothing.
const leastHomes = 2

// homes gives each model the replicas that keep up with it, those that it has anyway
// first. First each replica gets one model, so that each model has its share of them;
// then each model gets some more, so that models with much work find slots where others
// leave them. A replica that keeps up with few models loads seldom, and the loads that
// run at once are bounded. No model keeps more replicas than the bound that most gives for
// it, if any.
func homes(replicas []*directory.Replica, shares []share, most map[string]int) map[string][]*directory.Replica {
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
		wanted := min(len(replicas), int(math.Ceil(homeShare*share.part*float64(len(replicas)))))
		for _, extra := range leastShared(ordered, share.model, counts, kept[share.model], wanted-len(kept[share.model])) {
			kept[share.model] = append(kept[share.model], extra)
			counts[extra.ID]++
		}
	}
	for model, bound := range most {
		if bound > 0 && len(kept[model]) > bound {
			kept[model] = heaviest(kept[model], model, bound)
		}
	}
	return kept
}

// heaviest are the replicas of greatest weight for a model, so that few change when
// replicas come and go.
func heaviest(replicas []*directory.Replica, model string, count int) []*directory.Replica {
	weighed := make([]weighedReplica, 0, len(replicas))
	for _, replica := range replicas {
		weighed = append(weighed, weighedReplica{Replica: replica, weight: pairWeight(replica, model)})
	}
	slices.SortFunc(weighed, func(a, b weighedReplica) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	chosen := make([]*directory.Replica, 0, count)
	for _, replica := range weighed[:count] {
		chosen = append(chosen, replica.Replica)
	}
	return chosen
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
