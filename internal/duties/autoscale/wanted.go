package autoscale

// Reason is why a number of replicas is wanted.
type Reason string

// The reasons, as the log names them.
const (
	// ReasonWork: there are more open items than slots.
	ReasonWork Reason = "open items want slots"
	// ReasonShare: the share of the slots in use is above its target.
	ReasonShare Reason = "too much of the slots is in use"
	// ReasonBase: nothing more than before is wanted.
	ReasonBase Reason = "as many as there were"
	// ReasonReplace: others stand in for those of an evacuated zone.
	ReasonReplace Reason = "replicas of another zone get no work"
)

// Wanted is how many replicas a zone is to hold.
type Wanted struct {
	Zone     string
	Replicas int
	Reason   Reason
}
