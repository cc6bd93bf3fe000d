package weightorders

import (
	"cmp"
	"math"
	"slices"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// minFastPart is the part of its proportional share of each speed class that a model gets
// even if others have longer texts. Nearly all models have some texts that only fast replicas
// end in time: 152 events take 12.6 s at 83 ms, and a step is due after 7.5 s.
const minFastPart = 0.5

// capacityOf returns the relative number of events that a replica sends in a given time.
func (s *speeds) capacityOf(replica *directory.Replica) float64 {
	return float64(max(1, replica.Slots)) / math.Pow(minSpeedRatio, float64(s.classOf(replica.ID)))
}

// capacitySum returns the capacity of some replicas.
func (s *speeds) capacitySum(replicas []*directory.Replica) float64 {
	sum := 0.0
	for _, replica := range replicas {
		sum += s.capacityOf(replica)
	}
	return sum
}

// homesBySpeed assigns to each model its homes as homes does, but divides the capacity of the
// replicas among the models instead of their number, and gives fast replicas first to models
// with longer texts. Within a speed class it uses the same rendezvous weights, so that few
// homes move if a replica is added, is removed or changes its class.
func homesBySpeed(replicas []*directory.Replica, shares []share, maxHomes map[string]int, known *speeds) map[string][]*directory.Replica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b *directory.Replica) int {
		return cmp.Or(cmp.Compare(known.classOf(a.ID), known.classOf(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	longestFirst := slices.Clone(shares)
	slices.SortStableFunc(longestFirst, func(a, b share) int { return cmp.Compare(known.lengths[b.model], known.lengths[a.model]) })
	assigned := assignClasses(sorted, longestFirst, known)
	addSharedCapacity(assigned, sorted, longestFirst, known)
	for model, bound := range maxHomes {
		if bound > 0 && len(assigned[model]) > bound {
			assigned[model] = fastest(assigned[model], model, bound, known)
		}
	}
	return assigned
}

// assignClasses assigns each replica to one model, class by class from the fastest on, so that
// the capacity of each model is in proportion to its share. The replicas are sorted by class.
func assignClasses(sorted []*directory.Replica, longestFirst []share, known *speeds) map[string][]*directory.Replica {
	assigned := map[string][]*directory.Replica{}
	total := known.capacitySum(sorted)
	// missing is the capacity that each model lacks if replicas could be divided, and owed
	// what it lacks of that because they can't be.
	missing, owed := make([]float64, len(longestFirst)), make([]float64, len(longestFirst))
	for i, share := range longestFirst {
		missing[i] = share.fraction * total
	}
	for start := 0; start < len(sorted); {
		end := start
		for end < len(sorted) && known.classOf(sorted[end].ID) == known.classOf(sorted[start].ID) {
			end++
		}
		class := sorted[start:end]
		capacity := known.capacitySum(class)
		parts := divideClass(longestFirst, missing, capacity, known)
		counts := roundCounts(parts, owed, capacity, len(class))
		byModel := map[string]int{}
		for i, share := range longestFirst {
			byModel[share.model] = counts[i]
			missing[i] -= parts[i]
			owed[i] += parts[i] - capacity*float64(counts[i])/float64(len(class))
		}
		assignByWeight(assigned, class, longestFirst, byModel)
		start = end
	}
	return assigned
}

// divideClass divides the capacity of a speed class among the models, the first of which have
// the longest texts. missing is the capacity that each model still lacks. Each model gets
// minFastPart of its proportional part of the class, and the models with the longest texts
// get the rest, up to what they lack. Models with equally long texts get equal parts of what
// they lack.
func divideClass(longestFirst []share, missing []float64, capacity float64, known *speeds) []float64 {
	sum := 0.0
	for _, lacking := range missing {
		sum += lacking
	}
	parts := make([]float64, len(longestFirst))
	left := (1 - minFastPart) * capacity
	for start := 0; start < len(parts); {
		end, lacking := start, 0.0
		for ; end < len(parts) && known.lengths[longestFirst[end].model] == known.lengths[longestFirst[start].model]; end++ {
			lacking += missing[end]
		}
		if lacking > 0 {
			minimum := minFastPart * capacity * lacking / sum
			got := min(left, lacking-minimum)
			left -= got
			for i := start; i < end; i++ {
				parts[i] = (minimum + got) * missing[i] / lacking
			}
		}
		start = end
	}
	return parts
}

// roundCounts returns how many replicas of a class each model gets, given its part of the
// capacity of the class and what it is owed from faster classes. The latter only decides
// which models get one more, so that a change in one class moves few homes of the next.
func roundCounts(parts, owed []float64, capacity float64, replicas int) []int {
	counts, byRemainder, remainders := make([]int, len(parts)), make([]int, len(parts)), make([]float64, len(parts))
	remaining, each := replicas, capacity/float64(replicas)
	for i, part := range parts {
		// The tolerance covers rounding errors of sums in different orders.
		counts[i] = min(int(part/each+1e-9), remaining)
		remaining -= counts[i]
		byRemainder[i] = i
		remainders[i] = part/each - float64(counts[i]) + max(-1, min(owed[i]/each, 1))
	}
	slices.SortStableFunc(byRemainder, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; i < remaining; i++ {
		counts[byRemainder[i%len(counts)]]++
	}
	return counts
}

// assignByWeight assigns the replicas of a class to models in the order of their rendezvous
// weights, up to a number for each model.
func assignByWeight(assigned map[string][]*directory.Replica, class []*directory.Replica, shares []share, counts map[string]int) {
	type pair struct {
		replica *directory.Replica
		model   string
		weight  uint64
	}
	var pairs []pair
	for _, replica := range class {
		for _, share := range shares {
			pairs = append(pairs, pair{replica: replica, model: share.model, weight: rendezvousWeight(replica.ID, share.model)})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.replica.ID, b.replica.ID), cmp.Compare(a.model, b.model))
	})
	done := map[string]bool{}
	for _, next := range pairs {
		if !done[next.replica.ID] && counts[next.model] > 0 {
			assigned[next.model] = append(assigned[next.model], next.replica)
			counts[next.model]--
			done[next.replica.ID] = true
		}
	}
}

// addSharedCapacity adds homes to each model until their capacity is homeShareFactor times the
// model's share, the fastest replicas among those with the fewest models first.
func addSharedCapacity(assigned map[string][]*directory.Replica, sorted []*directory.Replica, longestFirst []share, known *speeds) {
	modelCounts := make(map[string]int, len(sorted))
	for _, replica := range sorted {
		modelCounts[replica.ID] = 1
	}
	total := known.capacitySum(sorted)
	for _, share := range longestFirst {
		missing := min(1, homeShareFactor*share.fraction)*total - known.capacitySum(assigned[share.model])
		others := leastShared(sorted, share.model, modelCounts, assigned[share.model], len(sorted)-len(assigned[share.model]))
		slices.SortStableFunc(others, func(a, b *directory.Replica) int {
			return cmp.Or(cmp.Compare(modelCounts[a.ID], modelCounts[b.ID]), cmp.Compare(known.classOf(a.ID), known.classOf(b.ID)))
		})
		for _, added := range others {
			// The tolerance covers rounding errors of sums in different orders.
			if missing <= total*1e-9 {
				break
			}
			assigned[share.model] = append(assigned[share.model], added)
			modelCounts[added.ID]++
			missing -= known.capacityOf(added)
		}
	}
}

// fastest returns the count fastest replicas, and among equals those with the highest
// rendezvous weights for a model.
func fastest(replicas []*directory.Replica, model string, count int, known *speeds) []*directory.Replica {
	byWeight := highestWeighted(replicas, func(replica *directory.Replica) string { return replica.ID }, model, len(replicas))
	slices.SortStableFunc(byWeight, func(a, b *directory.Replica) int {
		return cmp.Compare(known.classOf(a.ID), known.classOf(b.ID))
	})
	return byWeight[:count]
}
