package lease

import (
	"testing"
	"time"
)

func TestTakeoverDelay(t *testing.T) {
	for name, test := range map[string]struct {
		inputs takeoverInputs
		want   time.Duration
	}{
		"no holder known, first in rank": {takeoverInputs{}, 0},
		"no holder known, third in rank": {takeoverInputs{rank: 2}, 2 * rankDelay},
		"no heartbeat for long":          {takeoverInputs{rank: 1, holderMayResume: true, sinceHeartbeat: time.Minute}, rankDelay + holderTimeout},
		"no heartbeat for holderTimeout": {takeoverInputs{holderMayResume: true, sinceHeartbeat: holderTimeout}, holderTimeout},
		"holder sends heartbeats":        {takeoverInputs{rank: 1, holderMayResume: true}, rankDelay + holderTimeout + activeHolderDelay},
	} {
		if delay := takeoverDelay(test.inputs); delay != test.want {
			t.Errorf("%s: delay %s, want %s", name, delay, test.want)
		}
	}
}

func TestDecide(t *testing.T) {
	now := time.Unix(100, 0)
	own := Observation{Holder: "one", Revision: 4}
	other := Observation{Holder: "two", Revision: 4}
	takeoverWait := SendWindow + DefaultTakeoverGap + takeoverMargin
	for name, test := range map[string]struct {
		prepare  func(s *state)
		justRead bool
		want     decision
	}{
		"nothing known":           {func(*state) {}, false, decision{action: actionRead}},
		"no lease stored":         {func(s *state) { s.recordRead(now, Observation{}) }, true, decision{action: actionTake}},
		"another node holds":      {func(s *state) { s.observe(now, other) }, false, decision{action: actionWait, wait: takeoverWait}},
		"another node held":       {func(s *state) { s.observe(now.Add(-takeoverWait), other) }, false, decision{action: actionRead}},
		"another node held, read": {func(s *state) { s.observe(now.Add(-takeoverWait), other) }, true, decision{action: actionTake, replaces: 4}},
		"own previous process":    {func(s *state) { s.observe(now, own) }, false, decision{action: actionTake, replaces: 4}},
		"held":                    {func(s *state) { s.recordWrite(now, 5) }, false, decision{action: actionRenew, replaces: 5}},
		"own write not answered":  {func(s *state) { s.recordWrite(now, 5); s.recordUnanswered() }, false, decision{action: actionRead}},
		"stopped":                 {func(s *state) { s.recordWrite(now, 5); s.stop() }, false, decision{action: actionNone}},
		"released by its holder":  {func(s *state) { s.observe(now, Observation{Holder: "two", Revision: 4, Released: true}) }, true, decision{action: actionTake, replaces: 4}},
		"stopped, another holds":  {func(s *state) { s.stop(); s.observe(now, other) }, false, decision{action: actionNone}},
	} {
		current := state{node: "one", takeoverGap: DefaultTakeoverGap}
		test.prepare(&current)
		if next := current.decide(now, test.justRead); next != test.want {
			t.Errorf("%s: decision %+v, want %+v", name, next, test.want)
		}
	}
}
