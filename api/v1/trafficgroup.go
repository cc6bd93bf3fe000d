package v1

import "time"

const (
	defaultDeadline   = Duration(30 * time.Second)
	defaultPriority   = 50
	maxPriority       = 100
	defaultFloorShare = 0.5
)

// TrafficGroup declares a group of callers with the same model, priority and deadline.
type TrafficGroup struct {
	Header
	Spec TrafficGroupSpec `json:"spec"`
}

// TrafficGroupSpec is the specification of a TrafficGroup.
type TrafficGroupSpec struct {
	// Model is the name of the Model that the group calls.
	Model string `json:"model"`
	// Priority is from 1 to 100. Requests with a greater priority are served first.
	Priority int `json:"priority,omitempty"`
	// Deadline is the default deadline of a request.
	Deadline Duration `json:"deadline,omitempty"`
	// FloorShare is the minimum share, from 0 to 1, of the group's engines that must stay
	// in service during a weight rollout.
	FloorShare float64 `json:"floorShare,omitempty"`
}

// SetDefaults implements Object.
func (g *TrafficGroup) SetDefaults() {
	if g.Spec.Priority == 0 {
		g.Spec.Priority = defaultPriority
	}
	if g.Spec.Deadline == 0 {
		g.Spec.Deadline = defaultDeadline
	}
	if g.Spec.FloorShare == 0 {
		g.Spec.FloorShare = defaultFloorShare
	}
}

// Validate implements Object.
func (g *TrafficGroup) Validate(report *Report) {
	report.Required("spec.model", g.Spec.Model)
	report.Between("spec.priority", float64(g.Spec.Priority), 1, maxPriority)
	report.Positive("spec.deadline", float64(g.Spec.Deadline))
	report.Between("spec.floorShare", g.Spec.FloorShare, 0, 1)
}
