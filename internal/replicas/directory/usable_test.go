package directory

import (
	"testing"
	"time"
)

func TestDisposeEntry(t *testing.T) {
	for name, test := range map[string]struct {
		known entryFacts
		want  disposition
	}{
		"ready":                                  {entryFacts{state: ReplicaReady}, dispositionUse},
		"draining":                               {entryFacts{state: ReplicaDraining}, dispositionDrain},
		"unknown state":                          {entryFacts{state: "boiling"}, dispositionDrain},
		"ready after draining":                   {entryFacts{state: ReplicaReady, wasDraining: true}, dispositionDrain},
		"earlier incarnation, within the period": {entryFacts{state: ReplicaReady, isEarlierIncarnation: true, sinceLaterIncarnation: staleEntryPeriod - 1}, dispositionStale},
		"earlier incarnation, after the period":  {entryFacts{state: ReplicaReady, isEarlierIncarnation: true, sinceLaterIncarnation: staleEntryPeriod}, dispositionUse},
		"draining earlier incarnation":           {entryFacts{state: ReplicaDraining, isEarlierIncarnation: true}, dispositionStale},
	} {
		if outcome := disposeEntry(test.known); outcome != test.want {
			t.Errorf("%s: disposition %d, want %d", name, outcome, test.want)
		}
	}
}

func TestDisposeMissing(t *testing.T) {
	for name, test := range map[string]struct {
		known missingFacts
		want  disposition
	}{
		"store was available":     {missingFacts{}, dispositionDrop},
		"store was down":          {missingFacts{keepFor: time.Second}, dispositionKeep},
		"kept already":            {missingFacts{isKept: true}, dispositionKeep},
		"draining":                {missingFacts{isDraining: true, keepFor: time.Second}, dispositionDrop},
		"restarted":               {missingFacts{isSuperseded: true, keepFor: time.Second}, dispositionDrop},
		"restarted, kept already": {missingFacts{isSuperseded: true, isKept: true}, dispositionDrop},
	} {
		if outcome := disposeMissing(test.known); outcome != test.want {
			t.Errorf("%s: disposition %d, want %d", name, outcome, test.want)
		}
	}
}

func TestWarmUntil(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	for name, test := range map[string]struct {
		known           warmUp
		evacuationEnded time.Time
		want            time.Time
	}{
		"nothing known":                {want: time.Time{}},
		"announced by its entry":       {known: warmUp{announcedUntil: at(105)}, want: at(105)},
		"appeared":                     {known: warmUp{appeared: at(100)}, want: at(110)},
		"entry announces a later time": {known: warmUp{appeared: at(100), announcedUntil: at(120)}, want: at(120)},
		"evacuation of its zone ended": {known: warmUp{announcedUntil: at(105)}, evacuationEnded: at(104), want: at(114)},
	} {
		if until := warmUntil(test.known, test.evacuationEnded, 10*time.Second); !until.Equal(test.want) {
			t.Errorf("%s: %s, want %s", name, until, test.want)
		}
	}
}
