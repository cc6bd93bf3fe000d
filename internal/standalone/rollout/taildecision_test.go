package rollout

import (
	"testing"
	"time"
)

func TestDecideTail(t *testing.T) {
	// A sample that is alone at an engine with waiting requests, far beyond the
	// median, with an idle engine beside it.
	late := tailView{remaining: 1, total: 100, elapsed: 7 * time.Second, median: time.Second, load: 1.2, quietest: 0, attempts: 1}
	change := func(edit func(*tailView)) tailView {
		view := late
		edit(&view)
		return view
	}
	for name, test := range map[string]struct {
		view tailView
		want tailAction
	}{
		"moved to the quieter engine":    {late, tailMove},
		"not yet the tail":               {change(func(v *tailView) { v.remaining = 16 }), tailNone},
		"two attempts already":           {change(func(v *tailView) { v.attempts = 2 }), tailNone},
		"raced after the last move":      {change(func(v *tailView) { v.moves = maxMoves }), tailRace},
		"raced where no move would gain": {change(func(v *tailView) { v.quietest = 1 }), tailRace},
		"no race before the very end":    {change(func(v *tailView) { v.moves, v.remaining = maxMoves, 3 }), tailNone},
		"no race of a young attempt":     {change(func(v *tailView) { v.moves, v.elapsed = maxMoves, 6*time.Second }), tailNone},
		"no race without a median":       {change(func(v *tailView) { v.moves, v.median = maxMoves, 0 }), tailNone},
		"no race at an engine with room": {change(func(v *tailView) { v.moves, v.load = maxMoves, 1 }), tailNone},
	} {
		if got := decideTail(test.view); got != test.want {
			t.Errorf("%s: action %d, want %d", name, got, test.want)
		}
	}
}
