package rollout

import (
	"testing"
	"time"
)

func TestDecideTail(t *testing.T) {
	// An overdue sample at an overloaded engine while another engine is idle.
	late := tailSample{remaining: 1, total: 100, elapsed: 7 * time.Second, median: time.Second, load: 1.2, leastLoad: 0, attempts: 1}
	change := func(edit func(*tailSample)) tailSample {
		sample := late
		edit(&sample)
		return sample
	}
	for name, test := range map[string]struct {
		sample tailSample
		want   tailAction
	}{
		"move to less loaded engine":       {late, tailMove},
		"none before the tail":             {change(func(s *tailSample) { s.remaining = 16 }), tailNone},
		"none with two attempts running":   {change(func(s *tailSample) { s.attempts = 2 }), tailNone},
		"hedge after the last move":        {change(func(s *tailSample) { s.moves = maxMoves }), tailHedge},
		"hedge if a move gains too little": {change(func(s *tailSample) { s.leastLoad = 1 }), tailHedge},
		"none above the hedge share":       {change(func(s *tailSample) { s.moves, s.remaining = maxMoves, 3 }), tailNone},
		"none at the age limit":            {change(func(s *tailSample) { s.moves, s.elapsed = maxMoves, 6*time.Second }), tailNone},
		"none without a median":            {change(func(s *tailSample) { s.moves, s.median = maxMoves, 0 }), tailNone},
		"none if engine is not overloaded": {change(func(s *tailSample) { s.moves, s.load = maxMoves, 1 }), tailNone},
	} {
		if got := decideTail(test.sample); got != test.want {
			t.Errorf("%s: action %d, want %d", name, got, test.want)
		}
	}
}
