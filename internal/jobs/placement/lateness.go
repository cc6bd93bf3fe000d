package placement

import "time"

// LatenessCause is the reason why a job was late, as it appears in logs and metrics.
type LatenessCause string

// The causes of a late job, in the order in which ClassifyLateness checks them.
const (
	LateOwnerChange LatenessCause = "its owner changed"
	LateNoSlot      LatenessCause = "began late: no replica had room or the weights"
	LateStall       LatenessCause = "a run stalled"
	LateBrokenRuns  LatenessCause = "runs broke off"
	LateSlowReplica LatenessCause = "slow replica"
	LateLongText    LatenessCause = "long text"
)

const (
	// lateStartWait is the wait for the first run above which an item counts as begun late.
	lateStartWait = 300 * time.Millisecond
	// slowIntervalRatio is the multiple of the median interval between events above which the
	// replica is the cause.
	slowIntervalRatio = 1.05
)

// ClassifyLateness returns the first cause that applies to a late job, given the history of
// the item that completed last. It returns LateLongText if no other cause applies.
func ClassifyLateness(paces Paces, history History) LatenessCause {
	switch {
	case history.Epoch > 1:
		return LateOwnerChange
	case history.Waited > lateStartWait:
		return LateNoSlot
	case history.Stalls > 0:
		return LateStall
	case history.BrokenRuns > 0:
		return LateBrokenRuns
	case paces.median > 0 && float64(history.Interval) > slowIntervalRatio*float64(paces.median):
		return LateSlowReplica
	}
	return LateLongText
}
