package v1

import "time"

const (
	defaultDeadline   = Duration(30 * time.Second)
	defaultPriority   = 50
	highestPriority   = 100
	defaultFloorShare = 0.5
)

// TrafficGroup declares a kind of caller: its model, urgency and floor.
type TrafficGroup struct {
	Header
	Spec TrafficGroupSpec `json:"spec"`
}

// TrafficGroupSpec says what a group of callers is promised.
type TrafficGroupSpec struct {
	// Model names the Model that the group calls.
	Model string `json:"model"`
	// Priority runs from 1 to 100; greater is served first.
	Priority int `json:"priority,omitempty"`
	// Deadline bounds a request that names none.
	Deadline Duration `json:"deadline,omitempty"`
	// FloorShare is the part of the group's engines, from 0 to 1, that must
	// stay in service while weights are swapped.
	FloorShare float64 `json:"floorShare,omitempty"`
}

// SetDefaults fills in priority, deadline and floor.
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

// Validate checks the group by itself.
func (g *TrafficGroup) Validate(report *Report) {
	report.Required("spec.model", g.Spec.Model)
	report.Between("spec.priority", float64(g.Spec.Priority), 1, highestPriority)
	report.Positive("spec.deadline", float64(g.Spec.Deadline))
	report.Between("spec.floorShare", g.Spec.FloorShare, 0, 1)
}
