package v1

// WeightVersion declares one version of a model's weights. An engine should run the greatest
// active version whose selector matches it.
type WeightVersion struct {
	Header
	Spec WeightVersionSpec `json:"spec"`
}

// WeightVersionSpec is the specification of a WeightVersion.
type WeightVersionSpec struct {
	// Model is the name of the Model.
	Model string `json:"model"`
	// Version is the version number. Greater numbers are newer.
	Version int64 `json:"version"`
	// Active permits engines to run the weights. Otherwise they may only stage them.
	Active bool `json:"active"`
	// Engines selects engines by label. Empty selects all engines of the model.
	Engines string `json:"engines,omitempty"`
}

// SetDefaults implements Object.
func (w *WeightVersion) SetDefaults() {}

// Validate implements Object.
func (w *WeightVersion) Validate(report *Report) {
	report.Required("spec.model", w.Spec.Model)
	report.Positive("spec.version", float64(w.Spec.Version))
	if w.Spec.Engines != "" {
		report.Selector("spec.engines", w.Spec.Engines)
	}
}
