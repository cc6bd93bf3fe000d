package batch

import (
	"fmt"
	"testing"
	"time"
)

func TestGroupsAreListedWithoutDelayOnceMostAreWhole(t *testing.T) {
	for _, test := range []struct {
		name    string
		desired int
		groups  int
		whole   int
		nearly  bool
	}{
		{"none whole", 10, 12, 0, false},
		{"half whole", 10, 12, 5, false},
		{"most whole", 10, 12, 8, true},
		{"more desired than there are", 20, 10, 8, true},
		{"no trainer, none whole", 0, 10, 0, false},
		{"no trainer, one whole", 0, 10, 1, true},
	} {
		held := &job{submission: &Submission{Desired: test.desired}, groups: map[string]*group{}}
		for number := range test.groups {
			open := 1
			if number < test.whole {
				open = 0
			}
			held.groups[fmt.Sprint(number)] = &group{open: open}
		}
		if got := held.nearlyWhole(); got != test.nearly {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}

// Readers come back half a second after each answer. Results that were listed some
// hundredths of a second before the last group that a trainer waited for used to make it
// wait that long for this one.
func TestResultsBeforeTheLastDesiredGroupAreListedWithIt(t *testing.T) {
	now := time.Now()
	const longest = 146
	for _, test := range []struct {
		name    string
		whole   int
		due     time.Time
		carried bool
		events  int
		soon    bool
		limit   time.Duration
	}{
		{"most whole, due later", 9, now.Add(2 * time.Second), false, 80, false, resultGather},
		{"most whole, the last about to end", 9, now.Add(2 * time.Second), false, 140, false, 2 * resultGather},
		{"fewer whole, two about to end", 8, now.Add(2 * time.Second), false, 140, false, resultGather},
		{"most whole, just due", 9, now.Add(-lateGrace / 2), false, 80, false, resultGather},
		{"most whole, late", 9, now.Add(-time.Second), false, 80, true, resultGather},
		{"most whole, no time named", 9, time.Time{}, false, 140, true, resultGather},
		{"half whole, late", 5, now.Add(-time.Second), false, 80, false, resultGather},
		{"as many whole as desired", 10, now.Add(2 * time.Second), false, 80, true, resultGather},
		{"as many whole as desired, not one that came back", 10, now.Add(2 * time.Second), true, 80, false, resultGather},
		{"as many whole as desired, one that came back about to end", 10, now.Add(2 * time.Second), true, 140, false, 2 * resultGather},
	} {
		held := &job{submission: &Submission{Desired: 10}, due: test.due, flushSoon: true, groups: map[string]*group{}, items: map[string]*item{}}
		for number := range 12 {
			name, made := fmt.Sprint(number), &group{}
			if number >= test.whole {
				made.open, made.carried = 1, test.carried && number == test.whole
				held.items[name] = &item{Item: &Item{ID: name}, group: made}
			}
			held.groups[name] = made
		}
		if next := held.items[fmt.Sprint(test.whole)]; next != nil {
			next.events = test.events
		}
		if soon, limit := held.listsSoon(now), held.gatherTime(longest); soon != test.soon || limit != test.limit {
			t.Errorf("%s: %t within %s", test.name, soon, limit)
		}
	}
}
