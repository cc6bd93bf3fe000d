package v1

import "net/url"

// Objectives of a trainer.
const (
	ObjectiveIdleTime  = "idle-time"
	ObjectiveStaleness = "staleness"
)

const (
	defaultMaxStaleness = 2
	defaultStepsAhead   = 1
)

// Trainer declares a trainer, which consumes rollouts.
type Trainer struct {
	Header
	Spec TrainerSpec `json:"spec"`
}

// TrainerSpec is the specification of a Trainer.
type TrainerSpec struct {
	// Model is the name of the Model that is trained.
	Model string `json:"model"`
	// Engines selects by label the engines that may run the trainer's rollouts.
	Engines string `json:"engines"`
	// Scorer is the URL of the service that scores samples.
	Scorer string `json:"scorer"`
	// MaxStaleness is the maximum difference, in weight versions, between the version that
	// a step trains and the oldest version that generated a sample of the step.
	MaxStaleness int64 `json:"maxStaleness,omitempty"`
	// StepsAhead is the maximum number of steps that are generated ahead of the step in
	// training.
	StepsAhead int `json:"stepsAhead,omitempty"`
	// Objective is idle-time (the default) or staleness.
	Objective string `json:"prizes,omitempty"`
}

// SetDefaults implements Object.
func (t *Trainer) SetDefaults() {
	if t.Spec.MaxStaleness == 0 {
		t.Spec.MaxStaleness = defaultMaxStaleness
	}
	if t.Spec.StepsAhead == 0 {
		t.Spec.StepsAhead = defaultStepsAhead
	}
	if t.Spec.Objective == "" {
		t.Spec.Objective = ObjectiveIdleTime
	}
}

// Validate implements Object.
func (t *Trainer) Validate(report *Report) {
	report.Required("spec.model", t.Spec.Model)
	report.Selector("spec.engines", t.Spec.Engines)
	if parsed, err := url.Parse(t.Spec.Scorer); err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		report.Add("spec.scorer", t.Spec.Scorer, "an http URL")
	}
	report.Positive("spec.maxStaleness", float64(t.Spec.MaxStaleness))
	report.Positive("spec.stepsAhead", float64(t.Spec.StepsAhead))
	report.OneOf("spec.prizes", t.Spec.Objective, ObjectiveIdleTime, ObjectiveStaleness)
}
