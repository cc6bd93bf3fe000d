package weightorders

import (
	"cmp"
	"math"
	"slices"
)

// share is a model's share of the replicas of a service.
type share struct {
	model string
	// part is between 0 and 1. The parts of all models add up to 1.
	part float64
}

// sharesOf returns each model's share in proportion to its demand. A model whose demand is
// unknown counts with the mean of the known ones.
func sharesOf(models []string, demand map[string]float64) []share {
	known, sum := 0, 0.0
	for _, model := range models {
		if demand[model] > 0 {
			known++
			sum += demand[model]
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	sum += mean * float64(len(models)-known)
	shares := make([]share, 0, len(models))
	for _, model := range models {
		wanted := demand[model]
		if wanted <= 0 {
			wanted = mean
		}
		shares = append(shares, share{model: model, part: wanted / sum})
	}
	return shares
}

// apportion divides a number of replicas among models by the largest remainder method. Each
// model gets at least one if there are enough. The results add up to the number of
// replicas.
func apportion(replicas int, shares []share) map[string]int {
	quotas := make([]float64, len(shares))
	whole := map[string]int{}
	left := replicas
	for i, share := range shares {
		quotas[i] = share.part * float64(replicas)
		whole[share.model] = int(quotas[i])
		if whole[share.model] == 0 && replicas >= len(shares) {
			whole[share.model], quotas[i] = 1, 1
		}
		left -= whole[share.model]
	}
	byFraction := make([]int, len(shares))
	for i := range byFraction {
		byFraction[i] = i
	}
	slices.SortStableFunc(byFraction, func(a, b int) int { return cmp.Compare(fraction(quotas[b]), fraction(quotas[a])) })
	for i := 0; left > 0; i++ {
		whole[shares[byFraction[i%len(shares)]].model]++
		left--
	}
	for ; left < 0; left++ {
		whole[largest(shares, whole)]--
	}
	return whole
}

func fraction(quota float64) float64 { return quota - math.Floor(quota) }

// largest returns the model with the most replicas, the first one if there are several.
func largest(shares []share, whole map[string]int) string {
	best := shares[0].model
	for _, share := range shares {
		if whole[share.model] > whole[best] {
			best = share.model
		}
	}
	return best
}
