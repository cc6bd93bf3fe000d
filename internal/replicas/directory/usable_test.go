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
		"ready":                         {entryFacts{state: ReplicaReady}, dispositionUse},
		"draining":                      {entryFacts{state: ReplicaDraining}, dispositionLeave},
		"unknown state":                 {entryFacts{state: "boiling"}, dispositionLeave},
		"ready again after it left":     {entryFacts{state: ReplicaReady, hasLeft: true}, dispositionLeave},
		"earlier start, a moment after": {entryFacts{state: ReplicaReady, isEarlierStart: true, sinceLaterStart: lateEntryPeriod - 1}, dispositionLate},
		"earlier start, long after":     {entryFacts{state: ReplicaReady, isEarlierStart: true, sinceLaterStart: lateEntryPeriod}, dispositionUse},
		"earlier start that leaves":     {entryFacts{state: ReplicaDraining, isEarlierStart: true}, dispositionLate},
	} {
		if outcome := disposeEntry(test.known); outcome != test.want {
			t.Errorf("%s: %d, want %d", name, outcome, test.want)
		}
	}
}

func TestDisposeMissing(t *testing.T) {
	for name, test := range map[string]struct {
		known missingFacts
		want  disposition
	}{
		"store was sound":        {missingFacts{}, dispositionDrop},
		"store was down":         {missingFacts{keepFor: time.Second}, dispositionKeep},
		"kept already":           {missingFacts{isKept: true}, dispositionKeep},
		"has left":               {missingFacts{hasLeft: true, keepFor: time.Second}, dispositionDrop},
		"started again":          {missingFacts{isSuperseded: true, keepFor: time.Second}, dispositionDrop},
		"started again, is kept": {missingFacts{isSuperseded: true, isKept: true}, dispositionDrop},
	} {
		if outcome := disposeMissing(test.known); outcome != test.want {
			t.Errorf("%s: %d, want %d", name, outcome, test.want)
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
		"nothing known":        {want: time.Time{}},
		"by its entry":         {known: warmUp{announcedUntil: at(105)}, want: at(105)},
		"appeared":             {known: warmUp{appeared: at(100)}, want: at(110)},
		"entry says longer":    {known: warmUp{appeared: at(100), announcedUntil: at(120)}, want: at(120)},
		"its zone opens again": {known: warmUp{announcedUntil: at(105)}, evacuationEnded: at(104), want: at(114)},
	} {
		if until := warmUntil(test.known, test.evacuationEnded, 10*time.Second); !until.Equal(test.want) {
			t.Errorf("%s: %s, want %s", name, until, test.want)
		}
	}
}
