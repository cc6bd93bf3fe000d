package statistics

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Items of a node that died must not keep a model first in the order of loads.
func TestWaitingItemsExpire(t *testing.T) {
	began, reports := time.Now(), NewPeerReports()
	reports.Learn(&wire.NodeBeat{Node: "a", Work: []wire.JobWork{{Model: "m", Waiting: 5}, {Model: "m", Waiting: 2}, {Model: "n"}}}, began)
	reports.Learn(&wire.NodeBeat{Node: "b", Work: []wire.JobWork{{Model: "m", Waiting: 9}}}, began)
	reports.Learn(&wire.NodeBeat{Node: "b", Work: []wire.JobWork{{Model: "m", Waiting: 1}}}, began.Add(time.Second))
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{time.Second, 11}, {waitingTimeout, 4}, {waitingTimeout + time.Second, 3}} {
		counts := map[string]int{"m": 3}
		reports.AddWaiting(counts, began.Add(test.after))
		if counts["m"] != test.want || len(counts) != 1 {
			t.Errorf("after %s: %v items wait, want %d of model m", test.after, counts, test.want)
		}
	}
}

// A replica that is 2.5 times slower for a part of the time must not count as slow for long.
// Averages must not be compared with announced intervals, which exclude disturbances.
func TestUsualIntervalsAreSmooth(t *testing.T) {
	now, reports := time.Now(), NewPeerReports()
	for second := range 120 {
		recent := 35 * time.Millisecond
		if second%4 == 0 {
			recent = 87 * time.Millisecond
		}
		now = now.Add(time.Second)
		reports.ObserveRecent("r", recent, now)
		usual := reports.UsualIntervals(now)["r"]
		if second > 30 && (usual < 44*time.Millisecond || usual > 52*time.Millisecond) {
			t.Fatalf("usual interval %s after %d s, want 44 to 52 ms", usual, second)
		}
	}
	reports.Learn(&wire.NodeBeat{Uses: []wire.ReplicaUse{{Replica: "other", UsualIntervalUs: 36000}, {Replica: "unknown"}}}, now)
	if intervals := reports.UsualIntervals(now); len(intervals) != 1 || intervals["other"] != 36*time.Millisecond {
		t.Errorf("intervals %v, want only the announced 36 ms", intervals)
	}
	if intervals := reports.UsualIntervals(now.Add(intervalRetention)); len(intervals) != 0 {
		t.Errorf("intervals %v after the retention", intervals)
	}
}

// The mean length of a model's items must count each item, not each job.
func TestItemTokens(t *testing.T) {
	demand := NewDemand()
	demand.Learn(wire.JobWork{Job: "a", Model: "m", ExpectedTokens: 100, Items: 10}, time.Now())
	demand.Learn(wire.JobWork{Job: "b", Model: "m", ExpectedTokens: 2900, Items: 20}, time.Now())
	demand.Learn(wire.JobWork{Job: "c", Model: "m", ExpectedTokens: 5000}, time.Now())
	if got := demand.Mean().ItemTokens["m"]; got != 100 {
		t.Errorf("mean of %v tokens, want 100", got)
	}
}
