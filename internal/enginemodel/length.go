package enginemodel

import (
	"math"
	"math/rand/v2"
)

// Lengths is a lognormal distribution of answer lengths with a heavy tail.
type Lengths struct {
	// Median is the middle length in tokens, and Sigma the spread of its
	// logarithm; 1.0 makes one in a hundred ten times the median.
	Median float64 `json:"median"`
	Sigma  float64 `json:"sigma"`
	// Max bounds a length.
	Max int `json:"max"`
}

// Draw returns the length that belongs to a seed, always the same one.
func (l Lengths) Draw(seed uint64) int {
	random := rand.New(rand.NewPCG(seed, ^seed))
	length := l.Median * math.Exp(l.Sigma*random.NormFloat64())
	return max(1, min(l.Max, int(length)))
}
