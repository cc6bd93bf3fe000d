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
	for _, test := range []struct {
		name  string
		whole int
		due   time.Time
		soon  bool
		limit time.Duration
	}{
		{"most whole, due later", 9, now.Add(2 * time.Second), false, resultGather},
		{"most whole, due soon", 9, now.Add(200 * time.Millisecond), false, 200 * time.Millisecond},
		{"most whole, late", 9, now.Add(-time.Second), true, resultGather},
		{"most whole, no time named", 9, time.Time{}, true, resultGather},
		{"half whole, late", 5, now.Add(-time.Second), false, resultGather},
		{"as many whole as desired", 10, now.Add(2 * time.Second), true, resultGather},
	} {
		held := &job{submission: &Submission{Desired: 10}, due: test.due, flushSoon: true, groups: map[string]*group{}, items: map[string]*item{"open": {}}}
		for number := range 12 {
			open := 1
			if number < test.whole {
				open = 0
			}
			held.groups[fmt.Sprint(number)] = &group{open: open}
		}
		if soon, limit := held.listsSoon(now), held.gatherTime(now); soon != test.soon || limit != test.limit {
			t.Errorf("%s: %t within %s", test.name, soon, limit)
		}
	}
}
