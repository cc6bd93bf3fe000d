package lease

import (
	"testing"
	"time"
)

func TestTakeoverDelay(t *testing.T) {
	for name, test := range map[string]struct {
		known succession
		want  time.Duration
	}{
		"no holder known, first in rank":   {succession{}, 0},
		"no holder known, third in rank":   {succession{rank: 2}, 2 * rankDelay},
		"holder silent for long":           {succession{rank: 1, holderMayGoOn: true, holderSilence: time.Minute}, rankDelay + holderTimeout},
		"holder silent since its time-out": {succession{holderMayGoOn: true, holderSilence: holderTimeout}, holderTimeout},
		"holder sends heartbeats":          {succession{rank: 1, holderMayGoOn: true}, rankDelay + holderTimeout + activeHolderDelay},
	} {
		if delay := takeoverDelay(test.known); delay != test.want {
			t.Errorf("%s: %s, want %s", name, delay, test.want)
		}
	}
}

func TestDecide(t *testing.T) {
	now := time.Unix(100, 0)
	mine := Observation{Holder: "one", Revision: 4}
	others := Observation{Holder: "two", Revision: 4}
	takeoverWait := SendWindow + DefaultTakeoverGap + takeoverMargin
	for name, test := range map[string]struct {
		known    func(s *state)
		justRead bool
		want     decision
	}{
		"nothing known":           {func(*state) {}, false, decision{action: actionRead}},
		"no lease stored":         {func(s *state) { s.recordRead(now, Observation{}) }, true, decision{action: actionTake}},
		"another holds it":        {func(s *state) { s.observe(now, others) }, false, decision{action: actionWait, wait: takeoverWait}},
		"another held it":         {func(s *state) { s.observe(now.Add(-takeoverWait), others) }, false, decision{action: actionRead}},
		"another held it, read":   {func(s *state) { s.observe(now.Add(-takeoverWait), others) }, true, decision{action: actionTake, replaces: 4}},
		"own previous process":    {func(s *state) { s.observe(now, mine) }, false, decision{action: actionTake, replaces: 4}},
		"held":                    {func(s *state) { s.recordWrite(now, 5) }, false, decision{action: actionRenew, replaces: 5}},
		"own write not answered":  {func(s *state) { s.recordWrite(now, 5); s.recordNoAnswer() }, false, decision{action: actionRead}},
		"own duties given up":     {func(s *state) { s.recordWrite(now, 5); s.stop() }, false, decision{action: actionNone}},
		"released by its holder":  {func(s *state) { s.observe(now, Observation{Holder: "two", Revision: 4, Released: true}) }, true, decision{action: actionTake, replaces: 4}},
		"given up, another holds": {func(s *state) { s.stop(); s.observe(now, others) }, false, decision{action: actionNone}},
	} {
		known := state{node: "one", term: DefaultTakeoverGap}
		test.known(&known)
		if next := known.decide(now, test.justRead); next != test.want {
			t.Errorf("%s: %+v, want %+v", name, next, test.want)
		}
	}
}
