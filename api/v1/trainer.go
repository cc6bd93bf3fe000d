package v1

import "net/url"

// What a trainer prizes.
const (
	PrizeIdleTime  = "idle-time"
	PrizeStaleness = "staleness"
)

const (
	defaultMaxStaleness = 2
	defaultStepsAhead   = 1
)

// Trainer declares a consumer of rollouts.
type Trainer struct {
	Header
	Spec TrainerSpec `json:"spec"`
}

// TrainerSpec says what a trainer needs.
type TrainerSpec struct {
	// Model names the Model that is trained.
	Model string `json:"model"`
	// Engines selects the engines that may run its rollouts.
	Engines string `json:"engines"`
	// Scorer is the URL of the service that judges each sample.
	Scorer string `json:"scorer"`
	// MaxStaleness is the bound, in weight versions, between the version a
	// step trains and the oldest version that produced a sample of it.
	MaxStaleness int64 `json:"maxStaleness,omitempty"`
	// StepsAhead is how many steps may be generated before the one in
	// training has been acknowledged.
	StepsAhead int `json:"stepsAhead,omitempty"`
	// Prizes is idle-time or staleness.
	Prizes string `json:"prizes,omitempty"`
}

// SetDefaults fills in the bound, the look-ahead and the measure.
func (t *Trainer) SetDefaults() {
	if t.Spec.MaxStaleness == 0 {
		t.Spec.MaxStaleness = defaultMaxStaleness
	}
	if t.Spec.StepsAhead == 0 {
		t.Spec.StepsAhead = defaultStepsAhead
	}
	if t.Spec.Prizes == "" {
		t.Spec.Prizes = PrizeIdleTime
	}
}

// Validate checks the trainer by itself.
func (t *Trainer) Validate(report *Report) {
	report.Required("spec.model", t.Spec.Model)
	report.Selector("spec.engines", t.Spec.Engines)
	if parsed, err := url.Parse(t.Spec.Scorer); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		report.Add("spec.scorer", t.Spec.Scorer, "an http URL")
	}
	report.Positive("spec.maxStaleness", float64(t.Spec.MaxStaleness))
	report.Positive("spec.stepsAhead", float64(t.Spec.StepsAhead))
	report.OneOf("spec.prizes", t.Spec.Prizes, PrizeIdleTime, PrizeStaleness)
}
