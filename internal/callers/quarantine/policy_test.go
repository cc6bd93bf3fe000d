package quarantine

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
)

func TestCountsAsCrash(t *testing.T) {
	for _, test := range []struct {
		name      string
		liveness  exchange.Liveness
		resumable bool
		received  bool
		lasted    time.Duration
		counts    bool
	}{
		{"dead", exchange.Dead, false, false, 0, true},
		{"alive", exchange.Alive, false, false, 0, false},
		{"unknown", exchange.Unknown, false, false, 0, false},
		{"dead, late, not resumable", exchange.Dead, false, true, time.Hour, true},
		{"dead, late, no progress", exchange.Dead, true, false, time.Hour, true},
		{"dead, late, progress", exchange.Dead, true, true, time.Second, false},
		{"dead, early, progress", exchange.Dead, true, true, time.Second - 1, true},
	} {
		attempt := &dispatch.Attempt{Call: &dispatch.Call{Resumable: test.resumable}, BodyReceived: test.received, Duration: test.lasted}
		if got := countsAsCrash(attempt, test.liveness); got != test.counts {
			t.Errorf("%s: counts as crash: %v, want %v", test.name, got, test.counts)
		}
	}
}

func TestCrashBackoff(t *testing.T) {
	for crashes, want := range []time.Duration{0, 0, 0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second} {
		if got := crashBackoff(crashes); got != want {
			t.Errorf("%d crashes: delay %s, want %s", crashes, got, want)
		}
	}
}

func TestReactions(t *testing.T) {
	for _, test := range []struct {
		counts     bool
		crashCount int
		want       reaction
	}{{false, 0, ignore}, {true, 1, reportToAggregators}, {true, 2, reportToAggregators}, {true, 3, startQuarantine}} {
		if got := onBrokenRun(test.counts, test.crashCount); got != test.want {
			t.Errorf("broken run, %d crashes: %s, want %s", test.crashCount, got, test.want)
		}
	}
	for _, test := range []struct {
		reportedCount, crashCount int
		want                      reaction
	}{{1, 1, ignore}, {1, 2, ignore}, {1, 3, startQuarantine}, {3, 3, joinQuarantine}} {
		if got := onReportedCrashes(test.reportedCount, test.crashCount); got != test.want {
			t.Errorf("%d crashes reported, %d in total: %s, want %s", test.reportedCount, test.crashCount, got, test.want)
		}
	}
}

func TestClearsRequest(t *testing.T) {
	for status, want := range map[int]bool{199: false, 200: true, 204: true, 299: true, 301: false, 400: false, 500: false, 503: false} {
		if got := clearsRequest(status); got != want {
			t.Errorf("status %d clears the request: %v, want %v", status, got, want)
		}
	}
}

// Guards against admitting a retry that may crash more than crashesToQuarantine replicas.
func TestMustAwaitChecks(t *testing.T) {
	for _, test := range []struct {
		name     string
		crashes  int
		pending  pendingChecks
		timedOut bool
		want     bool
	}{
		{name: "no pending check", crashes: 2},
		{name: "the probe may confirm the last crash needed", crashes: 2, pending: pendingChecks{probes: 1}, timedOut: true, want: true},
		{name: "the probes together may confirm the crashes needed", crashes: 1, pending: pendingChecks{probes: 2}, timedOut: true, want: true},
		{name: "other nodes may know of more crashes", pending: pendingChecks{probes: 1}, want: true},
		{name: "the aggregators have not replied", crashes: 1, pending: pendingChecks{reports: 1}, want: true},
		{name: "the aggregators have not replied in time", crashes: 2, pending: pendingChecks{reports: 1}, timedOut: true},
		{name: "the probe has not ended in time", crashes: 1, pending: pendingChecks{probes: 1}, timedOut: true},
	} {
		if got := mustAwaitChecks(test.crashes, test.pending, test.timedOut); got != test.want {
			t.Errorf("%s: must wait = %v, want %v", test.name, got, test.want)
		}
	}
}
