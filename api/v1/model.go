package v1

const (
	defaultContextLength = 8192
	defaultMaxBodyBytes  = 1 << 20
)

// Model declares a model that engines serve.
type Model struct {
	Header
	Spec ModelSpec `json:"spec"`
}

// ModelSpec gives the bounds of a model.
type ModelSpec struct {
	// ContextLength is the most tokens that prompt and answer may have.
	ContextLength int `json:"contextLength,omitempty"`
	// MaxBodyBytes is the largest request body accepted for the model.
	MaxBodyBytes int `json:"maxBodyBytes,omitempty"`
}

// SetDefaults fills in the bounds.
func (m *Model) SetDefaults() {
	if m.Spec.ContextLength == 0 {
		m.Spec.ContextLength = defaultContextLength
	}
	if m.Spec.MaxBodyBytes == 0 {
		m.Spec.MaxBodyBytes = defaultMaxBodyBytes
	}
}

// Validate checks the model by itself.
func (m *Model) Validate(report *Report) {
	report.Positive("spec.contextLength", float64(m.Spec.ContextLength))
	report.Positive("spec.maxBodyBytes", float64(m.Spec.MaxBodyBytes))
}
