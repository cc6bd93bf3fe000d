package weightorders

import (
	"cmp"
	"math"
	"slices"
)

// share is the part of a service's replicas that a model is to have.
type share struct {
	model string
	// part is between 0 and 1; the parts of all models add up to 1.
	part float64
}

// sharesOf gives each model its part by the demand for it. Models without a
// known demand get the mean of the others.
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

// apportion divides replicas among models by the method of the largest
// remainder: the whole part of each quota first, then one each to the largest
// fractions. Where there are enough, each model gets at least one. The numbers
// add up to the replicas.
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

// largest returns the model with the most replicas, the first of several.
func largest(shares []share, whole map[string]int) string {
	best := shares[0].model
	for _, share := range shares {
		if whole[share.model] > whole[best] {
			best = share.model
		}
	}
	return best
}
