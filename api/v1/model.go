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

// ModelSpec is the specification of a Model.
type ModelSpec struct {
	// ContextLength is the maximum number of tokens of prompt and response together.
	ContextLength int `json:"contextLength,omitempty"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int `json:"maxBodyBytes,omitempty"`
}

// SetDefaults implements Object.
func (m *Model) SetDefaults() {
	if m.Spec.ContextLength == 0 {
		m.Spec.ContextLength = defaultContextLength
	}
	if m.Spec.MaxBodyBytes == 0 {
		m.Spec.MaxBodyBytes = defaultMaxBodyBytes
	}
}

// Validate implements Object.
func (m *Model) Validate(report *Report) {
	report.Positive("spec.contextLength", float64(m.Spec.ContextLength))
	report.Positive("spec.maxBodyBytes", float64(m.Spec.MaxBodyBytes))
}
