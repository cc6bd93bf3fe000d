package v1

// WeightVersion declares one version of a model's weights. The greatest
// active version whose selector matches an engine is the one it should run.
type WeightVersion struct {
	Header
	Spec WeightVersionSpec `json:"spec"`
}

// WeightVersionSpec names the weights and says how far they are rolled out.
type WeightVersionSpec struct {
	// Model names the Model.
	Model string `json:"model"`
	// Version is the number of the weights; greater is newer.
	Version int64 `json:"version"`
	// Active is false while engines may only stage the weights.
	Active bool `json:"active"`
	// Engines selects the engines by label; empty selects all of the model.
	Engines string `json:"engines,omitempty"`
}

// SetDefaults has nothing to fill in.
func (w *WeightVersion) SetDefaults() {}

// Validate checks the version by itself.
func (w *WeightVersion) Validate(report *Report) {
	report.Required("spec.model", w.Spec.Model)
	report.Positive("spec.version", float64(w.Spec.Version))
	if w.Spec.Engines != "" {
		report.Selector("spec.engines", w.Spec.Engines)
	}
}
