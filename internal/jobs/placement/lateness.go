package placement

import "time"

// LatenessCause is why a job was whole late.
type LatenessCause string

// What makes a job late, the first that holds.
const (
	LateOwnerChange LatenessCause = "its owner changed"
	LateNoSlot      LatenessCause = "began late: no replica had room or the weights"
	LateStall       LatenessCause = "a run stalled"
	LateBrokenRuns  LatenessCause = "runs broke off"
	LateSlowReplica LatenessCause = "slow replica"
	LateLongText    LatenessCause = "long text"
)

const (
	// lateBegin is the wait before its first run from which on an item began late.
	lateBegin = 300 * time.Millisecond
	// lateRatio is from how many times the usual interval a replica made its job late.
	lateRatio = 1.05
)

// History is what happened to the item that its job waited for last.
type History struct {
	// Epoch is the place of the job's owner among its owners, from 1.
	Epoch int
	// Waited is how long after the job's start here its first run began.
	Waited time.Duration
	// Stalls is how many of its runs were cut because nothing came, and Breaks how many
	// ended for no reason of the item's.
	Stalls int
	Breaks int
	// Interval is the mean time between events of its last run.
	Interval time.Duration
}

// WhyLate names what made a job late, given the history of the item that it waited for
// last.
func WhyLate(paces Paces, history History) LatenessCause {
	switch {
	case history.Epoch > 1:
		return LateOwnerChange
	case history.Waited > lateBegin:
		return LateNoSlot
	case history.Stalls > 0:
		return LateStall
	case history.Breaks > 0:
		return LateBrokenRuns
	case paces.usual > 0 && float64(history.Interval) > lateRatio*float64(paces.usual):
		return LateSlowReplica
	}
	return LateLongText
}
