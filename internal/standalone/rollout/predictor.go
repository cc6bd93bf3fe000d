package rollout

import "github.com/cespare/xxhash/v2"

const (
	// lengthWeight is the weight of the newest length in the moving average of
	// a prompt.
	lengthWeight = 0.3
	// maxPredictions bounds the number of prompts tracked.
	maxPredictions = 1 << 16
)

// LengthPredictor predicts the length of a sample from earlier samples of
// its prompt.
type LengthPredictor struct {
	lengths map[uint64]float64
	mean    float64
}

// NewLengthPredictor returns a predictor without observations.
func NewLengthPredictor() *LengthPredictor { return &LengthPredictor{lengths: map[uint64]float64{}} }

// Observe records the length of a sample.
func (p *LengthPredictor) Observe(prompt string, tokens int) {
	length := float64(tokens)
	if p.mean == 0 {
		p.mean = length
	}
	p.mean += lengthWeight / 10 * (length - p.mean)
	hash := xxhash.Sum64String(prompt)
	known, found := p.lengths[hash]
	if !found {
		if len(p.lengths) >= maxPredictions {
			clear(p.lengths)
		}
		p.lengths[hash] = length
		return
	}
	p.lengths[hash] = known + lengthWeight*(length-known)
}

// Predict returns the expected length in tokens. For an unknown prompt it
// returns the mean over all prompts.
func (p *LengthPredictor) Predict(prompt string) float64 {
	if known, found := p.lengths[xxhash.Sum64String(prompt)]; found {
		return known
	}
	return p.mean
}
