package placement

// Reason is why a run is cut to go on elsewhere.
type Reason string

// The reasons for a move.
const (
	// ReasonFaster is a replica that is much faster.
	ReasonFaster Reason = "faster replica"
	// ReasonLate is a replica that is somewhat faster, for a text that is late where it
	// runs.
	ReasonLate Reason = "late where it runs"
	// ReasonGone is a replica whose entry is gone.
	ReasonGone Reason = "replica is gone"
	// ReasonStalled is a run that has had no event for too long.
	ReasonStalled Reason = "nothing comes"
)
