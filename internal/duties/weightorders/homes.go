package weightorders

import (
	"cmp"
	"math"
	"slices"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

const (
	// homeShareFactor is the number of homes of a model as a multiple of its share of the
	// replicas. Overlapping homes let a model use slots that other models leave free, but
	// each home costs loads.
	homeShareFactor = 4.0 / 3
	// slotsPerItem is the number of slots at the homes of a model for each item of a job:
	// enough for two concurrent jobs while half of the homes load or lag a version behind.
	slotsPerItem = 4
	// maxHomesUnknownDemand is the maximum number of homes of a model whose demand is
	// unknown. It keeps a new holder of the lease, which has not heard of any jobs yet,
	// from starting thousands of loads.
	maxHomesUnknownDemand = 256
	// minHomes is the lower bound of homesNeeded, so that a model stays available if one of
	// its homes fails.
	minHomes = 2
)

// homesNeeded returns the number of homes that a model needs, given the number of items of
// its largest job, 0 if unknown, and the number of slots of a replica.
func homesNeeded(items, slots int) int {
	if items <= 0 {
		return maxHomesUnknownDemand
	}
	slots = max(1, slots)
	return max(minHomes, (slotsPerItem*items+slots-1)/slots)
}

// homes assigns to each model its homes, the replicas that load its new versions. First each
// replica is assigned to one model according to the models' shares. Then each model gets
// additional homes among the replicas of other models, so that it can use slots that those
// leave free. A replica is assigned to few models, because each costs loads and concurrent
// loads are limited. A positive entry of maxHomes limits the homes of its model.
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

// ownHomes assigns each replica to one model, according to the models' shares.
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

// addSharedHomes adds homes to each model, up to homeShareFactor times its share of the
// replicas. Each replica has been assigned to one model before.
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

// preferred returns the allowed model with the highest rendezvous weight for a replica.
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

// leastShared returns a number of replicas that are not yet homes of a model: those with the
// fewest models first, and among equals those with the highest rendezvous weight.
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

// sharedReplica is a replica with the number of models that it is a home of, and its
// rendezvous weight for another model.
type sharedReplica struct {
	*directory.Replica
	models int
	weight uint64
}
