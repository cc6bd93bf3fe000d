package rollout

import "github.com/cespare/xxhash/v2"

const (
	// predictorGain is the weight of the newest length of a prompt.
	predictorGain = 0.3
	// maxPredictions bounds the prompts remembered.
	maxPredictions = 1 << 16
)

// Predictor remembers how long the answers to a prompt were.
type Predictor struct {
	lengths map[uint64]float64
	mean    float64
}

// NewPredictor returns a predictor that knows no prompt.
func NewPredictor() *Predictor { return &Predictor{lengths: map[uint64]float64{}} }

// Observe takes in the length of one answer.
func (p *Predictor) Observe(prompt string, tokens int) {
	length := float64(tokens)
	if p.mean == 0 {
		p.mean = length
	}
	p.mean += predictorGain / 10 * (length - p.mean)
	hash := xxhash.Sum64String(prompt)
	known, found := p.lengths[hash]
	if !found {
		if len(p.lengths) >= maxPredictions {
			clear(p.lengths)
		}
		p.lengths[hash] = length
		return
	}
	p.lengths[hash] = known + predictorGain*(length-known)
}

// Predict returns the length expected; prompts never seen get the mean.
func (p *Predictor) Predict(prompt string) float64 {
	if known, found := p.lengths[xxhash.Sum64String(prompt)]; found {
		return known
	}
	return p.mean
}
