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
	// The loads of more homes would serve no item.
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
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b *directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	assigned := assignPrimaryHomes(sorted, shares)
	addSharedHomes(assigned, sorted, shares)
	for model, bound := range maxHomes {
		if bound > 0 && len(assigned[model]) > bound {
			assigned[model] = highestWeighted(assigned[model], func(replica *directory.Replica) string { return replica.ID }, model, bound)
		}
	}
	return assigned
}

// assignPrimaryHomes assigns each replica to one model, according to the models' shares.
func assignPrimaryHomes(sorted []*directory.Replica, shares []share) map[string][]*directory.Replica {
	assigned := map[string][]*directory.Replica{}
	counts := apportion(len(sorted), shares)
	hasRoom := func(model string) bool { return len(assigned[model]) < counts[model] }
	for _, replica := range sorted {
		model := preferredModel(shares, replica, hasRoom)
		assigned[model] = append(assigned[model], replica)
	}
	return assigned
}

// addSharedHomes adds homes to each model, up to homeShareFactor times its share of the
// replicas. Each replica has been assigned to one model before.
func addSharedHomes(assigned map[string][]*directory.Replica, sorted []*directory.Replica, shares []share) {
	modelCounts := make(map[string]int, len(sorted))
	for _, replica := range sorted {
		modelCounts[replica.ID] = 1
	}
	for _, share := range shares {
		count := min(len(sorted), int(math.Ceil(homeShareFactor*share.fraction*float64(len(sorted)))))
		for _, added := range leastShared(sorted, share.model, modelCounts, assigned[share.model], count-len(assigned[share.model])) {
			assigned[share.model] = append(assigned[share.model], added)
			modelCounts[added.ID]++
		}
	}
}

// preferredModel returns the allowed model with the highest rendezvous weight for a replica.
func preferredModel(shares []share, replica *directory.Replica, allowed func(model string) bool) string {
	preferred, bestWeight := "", uint64(0)
	for _, share := range shares {
		weight := rendezvousWeight(replica.ID, share.model)
		if allowed(share.model) && (preferred == "" || weight > bestWeight) {
			preferred, bestWeight = share.model, weight
		}
	}
	return preferred
}

// leastShared returns up to count replicas that are not among the current homes of a model:
// those with the fewest models first, and among equals those with the highest rendezvous
// weight.
func leastShared(replicas []*directory.Replica, model string, modelCounts map[string]int, current []*directory.Replica, count int) []*directory.Replica {
	if count <= 0 {
		return nil
	}
	isHome := make(map[string]bool, len(current))
	for _, replica := range current {
		isHome[replica.ID] = true
	}
	var others []sharedReplica
	for _, replica := range replicas {
		if !isHome[replica.ID] {
			others = append(others, sharedReplica{Replica: replica, modelCount: modelCounts[replica.ID], weight: rendezvousWeight(replica.ID, model)})
		}
	}
	slices.SortFunc(others, func(a, b sharedReplica) int {
		return cmp.Or(cmp.Compare(a.modelCount, b.modelCount), cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	selected := make([]*directory.Replica, 0, count)
	for _, other := range others[:min(count, len(others))] {
		selected = append(selected, other.Replica)
	}
	return selected
}

// sharedReplica is a replica with the number of models that it is a home of, and its
// rendezvous weight for another model.
type sharedReplica struct {
	*directory.Replica
	modelCount int
	weight     uint64
}
