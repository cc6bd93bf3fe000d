package v1

// Roles of an engine.
const (
	RoleServe   = "serve"
	RoleRollout = "rollout"
	RoleBoth    = "both"
)

const defaultEngineSlots = 16

// Engine declares one replica of a model engine.
type Engine struct {
	Header
	Spec EngineSpec `json:"spec"`
}

// EngineSpec is the specification of an Engine.
type EngineSpec struct {
	// Address is the engine's HTTP address, an IP address and a port.
	Address string `json:"address"`
	// Model is the name of the Model that the engine serves.
	Model string `json:"model"`
	// Zone and Region are the location of the engine.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Role is serve, rollout or both (the default).
	Role string `json:"role,omitempty"`
	// Slots is the maximum number of sequences that the engine runs concurrently.
	Slots int `json:"slots,omitempty"`
	// Cordoned excludes the engine from new work.
	Cordoned bool `json:"cordoned,omitempty"`
}

// SetDefaults implements Object.
func (e *Engine) SetDefaults() {
	if e.Spec.Role == "" {
		e.Spec.Role = RoleBoth
	}
	if e.Spec.Slots == 0 {
		e.Spec.Slots = defaultEngineSlots
	}
}

// Validate implements Object.
func (e *Engine) Validate(report *Report) {
	report.Address("spec.address", e.Spec.Address)
	report.Required("spec.model", e.Spec.Model)
	report.Required("spec.zone", e.Spec.Zone)
	report.Required("spec.region", e.Spec.Region)
	report.OneOf("spec.role", e.Spec.Role, RoleServe, RoleRollout, RoleBoth)
	report.Positive("spec.slots", float64(e.Spec.Slots))
}
