package statistics

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Items of a node that died must not keep a model first in the order of loads.
func TestWaitingItemsExpire(t *testing.T) {
	began, jobs := time.Now(), NewOpenJobs()
	jobs.Learn("a", []wire.JobWork{{Model: "m", LeftMs: 1, Waiting: 5}, {Model: "m", LeftMs: 1, Waiting: 2}, {Model: "n", LeftMs: 1}}, began)
	jobs.Learn("b", []wire.JobWork{{Model: "m", LeftMs: 1, Waiting: 9}}, began)
	jobs.Learn("b", []wire.JobWork{{Model: "m", LeftMs: 1, Waiting: 1}}, began.Add(time.Second))
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{time.Second, 8}, {openJobTimeout, 1}, {openJobTimeout + time.Second, 0}} {
		waiting := 0
		for _, job := range jobs.Current(began.Add(test.after)) {
			waiting += int(job.Waiting)
		}
		if waiting != test.want {
			t.Errorf("after %s: %d items wait, want %d", test.after, waiting, test.want)
		}
	}
}

// Guards against loads that ignore the items of jobs without a deadline, which wait too.
func TestWaitingItemsWithoutDeadline(t *testing.T) {
	now, jobs := time.Now(), NewOpenJobs()
	jobs.Learn("a", []wire.JobWork{{Model: "m", Waiting: 5}, {Model: "m", LeftMs: 1, Waiting: 2}, {Model: "n"}}, now)
	if waiting := jobs.Waiting(now); len(waiting) != 1 || waiting["m"] != 7 {
		t.Errorf("%v items wait, want 7 of m", waiting)
	}
	if waiting := jobs.Waiting(now.Add(openJobTimeout)); len(waiting) != 0 {
		t.Errorf("%v items wait after the timeout", waiting)
	}
	if current := jobs.Current(now); len(current) != 1 {
		t.Errorf("%d jobs with a deadline, want 1", len(current))
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
