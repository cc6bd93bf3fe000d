package replicastate

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// A replica that is 2.5 times slower for a part of the time must not count as a slow one, and
// what other nodes announce must not replace what this node observes.
func TestUsualIntervalsExcludeDisturbances(t *testing.T) {
	const usual, announced = 35 * time.Millisecond, 50 * time.Millisecond
	now, table := time.Now(), NewTable()
	own := table.GetOrCreate("own")
	own.Running = 1
	for began := now; now.Sub(began) < time.Minute; {
		interval := usual
		if now.Sub(began)%(4*time.Second) < 600*time.Millisecond {
			interval = usual * 5 / 2
		}
		now = now.Add(interval)
		own.Observe(interval, now)
	}
	table.LearnSlotUse(&wire.NodeBeat{Node: "other", Uses: []wire.ReplicaUse{
		{Replica: "own", UsualIntervalUs: uint32(announced.Microseconds())}, {Replica: "peer", UsualIntervalUs: uint32(announced.Microseconds())}, {Replica: "unknown"},
	}}, now)
	intervals := table.UsualIntervals(now)
	if got := intervals["own"]; got < usual || got > usual*5/4 {
		t.Errorf("interval %s of a replica that is often disturbed, want %s to %s", got, usual, usual*5/4)
	}
	if intervals["peer"] != announced || len(intervals) != 2 {
		t.Errorf("intervals %v, want the announced %s of peer and none of unknown", intervals, announced)
	}
	if intervals := table.UsualIntervals(now.Add(PaceRetention)); len(intervals) != 0 {
		t.Errorf("intervals %v after the retention", intervals)
	}
}
