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

// EngineSpec is what the operator wants of a replica.
type EngineSpec struct {
	// Address is the engine's HTTP address, IP and port.
	Address string `json:"address"`
	// Model names the Model that it serves.
	Model string `json:"model"`
	// Zone and Region are where it runs.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Role is serve, rollout or both (the default).
	Role string `json:"role,omitempty"`
	// Slots is how many sequences it batches at the most.
	Slots int `json:"slots,omitempty"`
	// Cordoned keeps new work away from the engine.
	Cordoned bool `json:"cordoned,omitempty"`
}

// SetDefaults fills in role and slots.
func (e *Engine) SetDefaults() {
	if e.Spec.Role == "" {
		e.Spec.Role = RoleBoth
	}
	if e.Spec.Slots == 0 {
		e.Spec.Slots = defaultEngineSlots
	}
}

// Validate checks the engine by itself.
func (e *Engine) Validate(report *Report) {
	report.Address("spec.address", e.Spec.Address)
	report.Required("spec.model", e.Spec.Model)
	report.Required("spec.zone", e.Spec.Zone)
	report.Required("spec.region", e.Spec.Region)
	report.OneOf("spec.role", e.Spec.Role, RoleServe, RoleRollout, RoleBoth)
	report.Positive("spec.slots", float64(e.Spec.Slots))
}
