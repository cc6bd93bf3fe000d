package weightorders

import (
	"maps"
	"math"
	"slices"
)

// Demand is the work that the recent jobs of each model brought.
type Demand struct {
	// Tokens is how many tokens a job is expected to produce, as a mean over the jobs.
	Tokens map[string]float64
	// Items is how many items the largest of the jobs has, 0 for unknown.
	Items map[string]int
}

// demandChange is by what part, between 0 and 1, the demand for a model must differ from
// that of the plan in force for a new plan. Each move of a model to another replica is a
// load, and the estimates of a trainer's jobs differ by some tenths.
const demandChange = 0.25

// differsFrom reports whether a demand is far enough from the planned one for a new plan.
func (d Demand) differsFrom(planned Demand) bool {
	return differs(planned.Tokens, d.Tokens) || differs(asFloats(planned.Items), asFloats(d.Items))
}

func asFloats(counts map[string]int) map[string]float64 {
	floats := make(map[string]float64, len(counts))
	for model, count := range counts {
		floats[model] = float64(count)
	}
	return floats
}

// differs reports whether an amount of any model is far from the planned one.
func differs(planned, demand map[string]float64) bool {
	if len(planned) != len(demand) {
		return true
	}
	for _, model := range slices.Sorted(maps.Keys(demand)) {
		if math.Abs(demand[model]-planned[model]) > demandChange*planned[model] {
			return true
		}
	}
	return false
}
