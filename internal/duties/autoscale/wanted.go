package autoscale

// Reason is the reason for a zone's target.
type Reason string

// The reasons, as they are logged.
const (
	// ReasonWork: there are more open items than slots.
	ReasonWork Reason = "open items want slots"
	// ReasonShare: the utilization of the slots is above its target.
	ReasonShare Reason = "too much of the slots is in use"
	// ReasonBase: no more replicas than the baseline are required.
	ReasonBase Reason = "as many as there were"
	// ReasonReplace: the replicas replace those of an evacuated zone.
	ReasonReplace Reason = "replicas of another zone get no work"
)

// Wanted is the target number of replicas of a zone.
type Wanted struct {
	Zone     string
	Replicas int
	Reason   Reason
}
