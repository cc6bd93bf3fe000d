package statistics

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/wire"
)

func TestLengthsExpiry(t *testing.T) {
	began := time.Now()
	for _, test := range []struct {
		name      string
		after     time.Duration
		announced int
		known     int
	}{
		{"immediately", 0, 1, 2},
		{"just before the last announcement", lengthAnnounceTime - 1, 1, 2},
		{"after the last announcement", lengthAnnounceTime, 0, 2},
		{"at the end of the retention", lengthRetention, 0, 2},
		{"after the retention", lengthRetention + 1, 0, 0},
	} {
		lengths := NewLengths()
		lengths.Observe("own", placement.Length{Events: 7, Complete: true}, began)
		lengths.Learn([]wire.ItemLength{{Item: "other", Events: 9, Whole: true}}, began)
		lengths.Evict(began.Add(test.after))
		if got := len(lengths.Announced(began.Add(test.after))); got != test.announced {
			t.Errorf("%s: %d lengths announced, want %d", test.name, got, test.announced)
		}
		if lengths.Len() != test.known {
			t.Errorf("%s: %d lengths known, want %d", test.name, lengths.Len(), test.known)
		}
		if _, known := lengths.Get("other"); known != (test.known > 0) {
			t.Errorf("%s: a length from another node is known: %v", test.name, known)
		}
	}
}

func TestTolerancesOnlyDecrease(t *testing.T) {
	tolerances := Tolerances{}
	for _, test := range []struct {
		name       string
		minVersion int64
		newest     int64
		want       int64
		known      bool
	}{
		{"the first version is ignored", 1, 5, 0, false},
		{"two behind", 3, 5, 2, true},
		{"three behind changes nothing", 2, 5, 2, true},
		{"one behind", 4, 5, 1, true},
		{"ahead of the newest", 6, 5, 0, true},
	} {
		tolerances.Observe("m", test.minVersion, test.newest)
		if got, known := tolerances["m"]; got != test.want || known != test.known {
			t.Errorf("%s: tolerance %d (known %v), want %d (%v)", test.name, got, known, test.want, test.known)
		}
	}
}

func TestDemandExpiry(t *testing.T) {
	began, demand := time.Now(), NewDemand()
	demand.Learn(wire.JobWork{Job: "a", Model: "m", ExpectedTokens: 100, Items: 8}, began)
	demand.Learn(wire.JobWork{Job: "a", Model: "m", ExpectedTokens: 900, Items: 80}, began.Add(time.Second))
	demand.Learn(wire.JobWork{Job: "b", Model: "m", ExpectedTokens: 300, Items: 16}, began.Add(time.Second))
	demand.Learn(wire.JobWork{Job: "of no model"}, began)
	if got := demand.Mean(); got.MeanTokens["m"] != 200 || got.MaxItems["m"] != 16 {
		t.Errorf("mean of %v tokens, largest job of %d items", got.MeanTokens["m"], got.MaxItems["m"])
	}
	demand.Evict(began.Add(demandRetention + time.Millisecond))
	if got := demand.Mean(); got.MeanTokens["m"] != 300 || demand.Len() != 1 {
		t.Errorf("mean of %v tokens over %d jobs after the first has expired", got.MeanTokens["m"], demand.Len())
	}
}

// Guards against slots that are left to an owner that was lost, and against steps that seem
// to have more time than they have because their heartbeat is old.
func TestOpenJobsAge(t *testing.T) {
	received, jobs := time.Now(), NewOpenJobs()
	jobs.Learn("a", []wire.JobWork{{Job: "due", LeftMs: 1000, Waiting: 3}, {Job: "without deadline", Waiting: 5}}, received)
	jobs.Learn("b", []wire.JobWork{{Job: "ended", LeftMs: 1000}}, received)
	jobs.Learn("b", nil, received)
	current := jobs.Current(received.Add(1200 * time.Millisecond))
	if len(current) != 1 || current[0].Job != "due" || current[0].TimeLeft != -200*time.Millisecond {
		t.Errorf("current jobs: %+v", current)
	}
	if current = jobs.Current(received.Add(openJobTimeout)); len(current) != 0 {
		t.Errorf("jobs of an old heartbeat: %+v", current)
	}
	jobs.Evict(received.Add(openJobTimeout))
	if len(jobs.byNode) != 0 {
		t.Error("an old heartbeat is stored")
	}
}
