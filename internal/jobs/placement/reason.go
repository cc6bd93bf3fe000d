package placement

// Reason is why a run is cut to continue elsewhere, in words for logs and metrics.
type Reason string

// The reasons for cutting a run.
const (
	// ReasonFaster: another replica is much faster.
	ReasonFaster Reason = "faster replica"
	// ReasonLate: the run would end late where it is, and another replica is somewhat
	// faster.
	ReasonLate Reason = "late where it runs"
	// ReasonGone: the replica's entry in the store has gone.
	ReasonGone Reason = "replica is gone"
	// ReasonStalled: the run has had no event for too long.
	ReasonStalled Reason = "nothing comes"
)
