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
	// PromptShare is the part of the spread, from 0 to 1, that all samples of
	// a prompt have in common: hard prompts have long answers.
	PromptShare float64 `json:"promptShare"`
	// Max bounds a length.
	Max int `json:"max"`
}

// Draw returns the length that belongs to a prompt's hash and a seed, always
// the same one.
func (l Lengths) Draw(prompt, seed uint64) int {
	common := rand.New(rand.NewPCG(prompt, ^prompt)).NormFloat64()
	own := rand.New(rand.NewPCG(prompt^seed, ^seed)).NormFloat64()
	spread := math.Sqrt(l.PromptShare)*common + math.Sqrt(1-l.PromptShare)*own
	length := l.Median * math.Exp(l.Sigma*spread)
	return max(1, min(l.Max, int(length)))
}
