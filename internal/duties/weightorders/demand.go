package weightorders

import (
	"maps"
	"math"
	"slices"
)

// Demand is the demand for each model, estimated from its recent jobs.
type Demand struct {
	// MeanTokens is the mean number of tokens that a job is expected to produce, by model.
	MeanTokens map[string]float64
	// MaxItems is the number of items of the largest job, by model; 0 if unknown.
	MaxItems map[string]int
	// ItemTokens is the mean number of tokens that an item is expected to produce, by model.
	ItemTokens map[string]float64
}

// minDemandChange is the relative change of a model's demand, between 0 and 1, above which
// homes are planned again. Estimates differ by some tenths from job to job of a trainer,
// and each new home costs a load.
const minDemandChange = 0.25

// differsFrom reports whether the demand differs enough from the planned one for a new plan.
func (d Demand) differsFrom(planned Demand) bool {
	return differs(planned.MeanTokens, d.MeanTokens) || differs(asFloats(planned.MaxItems), asFloats(d.MaxItems))
}

func asFloats(counts map[string]int) map[string]float64 {
	floats := make(map[string]float64, len(counts))
	for model, count := range counts {
		floats[model] = float64(count)
	}
	return floats
}

// differs reports whether the demand for any model differs from the planned one by more than
// minDemandChange.
func differs(planned, demand map[string]float64) bool {
	if len(planned) != len(demand) {
		return true
	}
	for _, model := range slices.Sorted(maps.Keys(demand)) {
		if math.Abs(demand[model]-planned[model]) > minDemandChange*planned[model] {
			return true
		}
	}
	return false
}
