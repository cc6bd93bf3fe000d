package weightorders

import (
	"cmp"
	"math"
	"slices"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

const (
	// homeShareFactor is how many homes a model has, as a multiple of its share of the
	// replicas: more leave room where others are busy, but each takes loads.
	homeShareFactor = 4.0 / 3
	// slotsPerItem is how many slots the homes of a model have for each item of a job:
	// the items of two jobs at once, while half of the homes load or are a version
	// behind. More homes would load in vain.
	slotsPerItem = 4
	// maxHomesUnknownDemand bounds the homes of a model while nothing is known of its
	// jobs: a new holder of the lease learns of them within a second, and must not begin
	// with thousands of loads.
	maxHomesUnknownDemand = 256
	// minHomes is how many homes a model has however small its jobs are, so that the
	// loss of one stops nothing.
	minHomes = 2
)

// homesNeeded returns how many homes a model needs for jobs of some items, 0 for unknown,
// at replicas of some slots.
func homesNeeded(items, slots int) int {
	if items <= 0 {
		return maxHomesUnknownDemand
	}
	slots = max(1, slots)
	return max(minHomes, (slotsPerItem*items+slots-1)/slots)
}

// homes gives each model its homes, the replicas that keep up with it, those that are
// only its own first. First each replica gets one model, so that each model has its share
// of them; then each model gets some more, so that models with much work find slots where
// others leave them. A replica with few models loads seldom, and the loads that run at
// once are bounded. No model has more homes than maxHomes gives for it, if any.
func homes(replicas []*directory.Replica, shares []share, maxHomes map[string]int) map[string][]*directory.Replica {
	if len(shares) == 0 {
		return map[string][]*directory.Replica{}
	}
	ordered := slices.Clone(replicas)
	slices.SortFunc(ordered, func(a, b *directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	kept := ownHomes(ordered, shares)
	addSharedHomes(kept, ordered, shares)
	for model, bound := range maxHomes {
		if bound > 0 && len(kept[model]) > bound {
			kept[model] = heaviest(kept[model], func(replica *directory.Replica) string { return replica.ID }, model, bound)
		}
	}
	return kept
}

// ownHomes gives each replica one model, by the models' shares.
func ownHomes(ordered []*directory.Replica, shares []share) map[string][]*directory.Replica {
	kept := map[string][]*directory.Replica{}
	apportioned := apportion(len(ordered), shares)
	hasRoom := func(model string) bool { return len(kept[model]) < apportioned[model] }
	for _, replica := range ordered {
		model := preferred(shares, replica, hasRoom)
		kept[model] = append(kept[model], replica)
	}
	return kept
}

// addSharedHomes gives each model homeShareFactor times its share of the replicas, each of
// which has one model already.
func addSharedHomes(kept map[string][]*directory.Replica, ordered []*directory.Replica, shares []share) {
	models := make(map[string]int, len(ordered))
	for _, replica := range ordered {
		models[replica.ID] = 1
	}
	for _, share := range shares {
		wanted := min(len(ordered), int(math.Ceil(homeShareFactor*share.part*float64(len(ordered)))))
		for _, extra := range leastShared(ordered, share.model, models, kept[share.model], wanted-len(kept[share.model])) {
			kept[share.model] = append(kept[share.model], extra)
			models[extra.ID]++
		}
	}
}

// preferred returns the model of greatest weight for a replica among those allowed.
func preferred(shares []share, replica *directory.Replica, allowed func(model string) bool) string {
	best, bestWeight := "", uint64(0)
	for _, share := range shares {
		weight := pairWeight(replica.ID, share.model)
		if allowed(share.model) && (best == "" || weight > bestWeight) {
			best, bestWeight = share.model, weight
		}
	}
	return best
}

// leastShared returns some replicas that are no homes of a model yet: those with the
// fewest models, and among these those of greatest weight.
func leastShared(replicas []*directory.Replica, model string, models map[string]int, has []*directory.Replica, some int) []*directory.Replica {
	if some <= 0 {
		return nil
	}
	isHome := make(map[string]bool, len(has))
	for _, replica := range has {
		isHome[replica.ID] = true
	}
	var others []sharedReplica
	for _, replica := range replicas {
		if !isHome[replica.ID] {
			others = append(others, sharedReplica{Replica: replica, models: models[replica.ID], weight: pairWeight(replica.ID, model)})
		}
	}
	slices.SortFunc(others, func(a, b sharedReplica) int {
		return cmp.Or(cmp.Compare(a.models, b.models), cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	least := make([]*directory.Replica, 0, some)
	for _, other := range others[:min(some, len(others))] {
		least = append(least, other.Replica)
	}
	return least
}

// sharedReplica is a replica with how many models it is a home of, and its weight for a
// further one.
type sharedReplica struct {
	*directory.Replica
	models int
	weight uint64
}
