package replicastate

import (
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// SlotUseTimeout is how long the announced slot use of another node is valid.
const SlotUseTimeout = 1500 * time.Millisecond

// NodeSlotUse is the slot use of another node, as announced in its heartbeat.
type NodeSlotUse struct {
	ReceivedAt time.Time
	// Running is the number of items that the node runs, by replica.
	Running map[string]int
	// Intervals is the recent time between events, by replica.
	Intervals map[string]time.Duration
	// ExpectedEvents is the number of events that the texts of these items are expected to have,
	// by replica.
	ExpectedEvents map[string]int
	// Open is the number of items of the node's jobs without a result, by model.
	Open map[string]int
}

// isCurrent reports whether the slot use is still valid.
func (u NodeSlotUse) isCurrent(now time.Time) bool { return now.Sub(u.ReceivedAt) < SlotUseTimeout }

// slotUseFrom returns the slot use that a heartbeat announces.
func slotUseFrom(heartbeat *wire.NodeBeat, now time.Time) NodeSlotUse {
	slotUse := NodeSlotUse{ReceivedAt: now, Running: map[string]int{}, Intervals: map[string]time.Duration{}, ExpectedEvents: map[string]int{}, Open: map[string]int{}}
	for _, work := range heartbeat.Work {
		slotUse.Open[work.Model] += int(work.Open)
	}
	for _, use := range heartbeat.Uses {
		slotUse.Running[use.Replica] = int(use.Running)
		slotUse.ExpectedEvents[use.Replica] = int(use.ExpectedEvents)
		if use.IntervalUs > 0 {
			slotUse.Intervals[use.Replica] = time.Duration(use.IntervalUs) * time.Microsecond
		}
	}
	return slotUse
}
