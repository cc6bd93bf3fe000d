package replicastate

import (
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// UsesTimeout is how long another node's uses of replicas are believed.
const UsesTimeout = 1500 * time.Millisecond

// NodeUses are another node's uses of replicas, as its heartbeat announced them.
type NodeUses struct {
	ReceivedAt time.Time
	// Running is how many items it runs at each replica.
	Running map[string]int
	// Intervals are the times between events that it has seen recently, by replica.
	Intervals map[string]time.Duration
	// Open is how many items of its jobs have no result yet, by model.
	Open map[string]int
}

// isCurrent tells whether the uses are still believed.
func (u NodeUses) isCurrent(now time.Time) bool { return now.Sub(u.ReceivedAt) < UsesTimeout }

// usesFrom reads the uses that a heartbeat announces.
func usesFrom(heartbeat *wire.NodeBeat, now time.Time) NodeUses {
	uses := NodeUses{ReceivedAt: now, Running: map[string]int{}, Intervals: map[string]time.Duration{}, Open: map[string]int{}}
	for _, work := range heartbeat.Work {
		uses.Open[work.Model] += int(work.Open)
	}
	for _, use := range heartbeat.Uses {
		uses.Running[use.Replica] = int(use.Running)
		if use.IntervalUs > 0 {
			uses.Intervals[use.Replica] = time.Duration(use.IntervalUs) * time.Microsecond
		}
	}
	return uses
}
