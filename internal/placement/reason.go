package placement

// Reason is why a run is cut to go on elsewhere.
type Reason string

// The reasons for a move.
const (
	// ReasonFaster is a replica that is much faster.
	ReasonFaster Reason = "faster replica"
	// ReasonInTime is a replica where the text ends in time, which it does not where it
	// runs.
	ReasonInTime Reason = "in time there alone"
	// ReasonGone is a replica whose entry is gone.
	ReasonGone Reason = "replica is gone"
	// ReasonStalled is a run from which nothing comes.
	ReasonStalled Reason = "nothing comes"
)
