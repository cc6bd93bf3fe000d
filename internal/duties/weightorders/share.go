package weightorders

import (
	"cmp"
	"math"
	"slices"
)

// share is a model's share of the replicas of a service.
type share struct {
	model string
	// fraction is between 0 and 1. The fractions of all models add up to 1.
	fraction float64
}

// sharesOf returns each model's share in proportion to its demand. A model whose demand is
// unknown counts with the mean of the known ones.
func sharesOf(models []string, demand map[string]float64) []share {
	known, total := 0, 0.0
	for _, model := range models {
		if demand[model] > 0 {
			known++
			total += demand[model]
		}
	}
	mean := 1.0
	if known > 0 {
		mean = total / float64(known)
	}
	total += mean * float64(len(models)-known)
	shares := make([]share, 0, len(models))
	for _, model := range models {
		amount := demand[model]
		if amount <= 0 {
			amount = mean
		}
		shares = append(shares, share{model: model, fraction: amount / total})
	}
	return shares
}

// apportion divides a number of replicas among models by the largest remainder method. Each
// model gets at least one if there are enough. The results add up to the number of
// replicas.
func apportion(replicas int, shares []share) map[string]int {
	quotas := make([]float64, len(shares))
	counts := map[string]int{}
	remaining := replicas
	for i, share := range shares {
		quotas[i] = share.fraction * float64(replicas)
		counts[share.model] = int(quotas[i])
		if counts[share.model] == 0 && replicas >= len(shares) {
			counts[share.model], quotas[i] = 1, 1
		}
		remaining -= counts[share.model]
	}
	byRemainder := make([]int, len(shares))
	for i := range byRemainder {
		byRemainder[i] = i
	}
	slices.SortStableFunc(byRemainder, func(a, b int) int { return cmp.Compare(remainder(quotas[b]), remainder(quotas[a])) })
	for i := 0; remaining > 0; i++ {
		counts[shares[byRemainder[i%len(shares)]].model]++
		remaining--
	}
	for ; remaining < 0; remaining++ {
		counts[largestModel(shares, counts)]--
	}
	return counts
}

func remainder(quota float64) float64 { return quota - math.Floor(quota) }

// largestModel returns the model with the most replicas, the first one if there are several.
func largestModel(shares []share, counts map[string]int) string {
	best := shares[0].model
	for _, share := range shares {
		if counts[share.model] > counts[best] {
			best = share.model
		}
	}
	return best
}
