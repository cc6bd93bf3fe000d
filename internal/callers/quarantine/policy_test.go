package quarantine

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
)

func TestWhichBreaksCount(t *testing.T) {
	for _, test := range []struct {
		name      string
		replica   exchange.Liveness
		resumable bool
		received  bool
		lasted    time.Duration
		counts    bool
	}{
		{"ended", exchange.Dead, false, false, 0, true},
		{"alive", exchange.Alive, false, false, 0, false},
		{"unknown", exchange.Unknown, false, false, 0, false},
		{"ended late, not resumable", exchange.Dead, false, true, time.Hour, true},
		{"ended late, without progress", exchange.Dead, true, false, time.Hour, true},
		{"ended late, with progress", exchange.Dead, true, true, time.Second, false},
		{"ended soon, with progress", exchange.Dead, true, true, time.Second - 1, true},
	} {
		run := &dispatch.Attempt{Call: &dispatch.Call{Resumable: test.resumable}, BodyReceived: test.received, Duration: test.lasted}
		if got := countsAsEnd(run, test.replica); got != test.counts {
			t.Errorf("%s: counts %v, want %v", test.name, got, test.counts)
		}
	}
}

func TestReactionsToEnds(t *testing.T) {
	for _, test := range []struct {
		counts bool
		known  int
		want   reaction
	}{{false, 0, ignoreEnd}, {true, 1, reportToKeepers}, {true, 2, reportToKeepers}, {true, 3, startQuarantine}} {
		if got := onBrokenRun(test.counts, test.known); got != test.want {
			t.Errorf("broken run, %d known: %s, want %s", test.known, got, test.want)
		}
	}
	for _, test := range []struct {
		reported, known int
		want            reaction
	}{{1, 1, ignoreEnd}, {1, 2, ignoreEnd}, {1, 3, startQuarantine}, {3, 3, joinQuarantine}} {
		if got := onReportedEnds(test.reported, test.known); got != test.want {
			t.Errorf("%d reported, %d known: %s, want %s", test.reported, test.known, got, test.want)
		}
	}
}

func TestWhichAnswersClearARequest(t *testing.T) {
	for status, want := range map[int]bool{199: false, 200: true, 204: true, 299: true, 301: false, 400: false, 500: false, 503: false} {
		if got := clearsRequest(status); got != want {
			t.Errorf("status %d clears %v, want %v", status, got, want)
		}
	}
}
