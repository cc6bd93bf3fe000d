package placement

// Reason is why a run is canceled and continued at another replica, as it appears in logs
// and metrics.
type Reason string

// The reasons for canceling a run.
const (
	// ReasonFaster means that another replica is at least minMoveRatio times faster.
	ReasonFaster Reason = "faster replica"
	// ReasonLate means that the run would miss its deadline at this replica, and another
	// one is at least minLateMoveRatio times faster. In a job that depends on the speed of
	// replicas, it means that the run would be late, or may be if it moves any later, and that
	// a faster replica has a free slot.
	ReasonLate Reason = "late where it runs"
	// ReasonGone means that the replica's entry was removed from the store.
	ReasonGone Reason = "replica is gone"
	// ReasonNotBegun means that the run waits in the queue of the replica while another one has
	// a free slot.
	ReasonNotBegun Reason = "not begun where it was sent"
	// ReasonSwapped means that a longer run needs the fast slot.
	ReasonSwapped Reason = "slot given to a longer run"
	// ReasonStalled means that the run received no event within its timeout.
	ReasonStalled Reason = "nothing comes"
	// ReasonYields means that the run's step cannot be in time, and an item of a step that
	// can needs the slot.
	ReasonYields Reason = "yields its slot"
)
