package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against results listed shortly before the last ones that the trainer waits for, which
// delay these by up to readerPeriod, and against groups listed too late to count.
func TestListingDue(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name                          string
		completesIn, timeLeft, waited time.Duration
		due                           bool
	}{
		{"the trainer has its groups", 0, 3 * time.Second, 0, true},
		{"the trainer has its groups after the deadline", 0, -2 * time.Second, 0, true},
		{"groups complete much later, listed recently", 4 * time.Second, 6 * time.Second, listingInterval - 1, false},
		{"groups complete much later", 4 * time.Second, 6 * time.Second, listingInterval, true},
		{"groups complete soon, listed recently", soon, 3 * time.Second, listingIntervalSoon - 1, false},
		{"groups complete soon", soon, 3 * time.Second, listingIntervalSoon, true},
		{"groups complete before the trainer reads again", holdWindow, time.Second, maxHold - 1, false},
		{"held for too long", holdWindow, time.Second, maxHold, true},
		{"late, but groups still count", 400 * ms, -lastListing + 1, time.Second, false},
		{"last moment", 400 * ms, -lastListing, 300 * ms, true},
		{"last moment missed by one poll", 400 * ms, -lastListing - 20*ms, 300 * ms, true},
		{"last moment, groups about to be complete", lastHold, -lastListing, 300 * ms, false},
		{"last moment, groups about to be complete for too long", 1, -lastListing - lastHold, 300 * ms, true},
		{"listed at the last moment after the wait", 1, -lastListing - lastHold - 20*ms, 20 * ms, false},
		{"already listed at the last moment", 400 * ms, -lastListing - 20*ms, 20 * ms, false},
		{"last moment, groups complete much later", 4 * time.Second, -lastListing, 300 * ms, true},
	} {
		if got := ListingDue(test.completesIn, test.timeLeft, test.waited, true); got != test.due {
			t.Errorf("%s: due %t", test.name, got)
		}
	}
	// Results of further groups must not cost a write each once the trainer has its groups.
	if ListingDue(0, 3*time.Second, listingInterval-1, false) || !ListingDue(0, 3*time.Second, listingInterval, false) {
		t.Error("the interval does not apply to results without a further complete group")
	}
}

func TestCompletesIn(t *testing.T) {
	paces, _ := unevenReplicas(rand.New(rand.NewPCG(19, 20)), 2, 1, 50, 100, 8)
	paces.usual = map[string]time.Duration{"fast": 50 * time.Millisecond, "slow": 100 * time.Millisecond}
	paces.usualMedian = 50 * time.Millisecond
	at := func(group, remaining int, replica string) UnfinishedItem {
		return UnfinishedItem{Group: group, Work: Work{Remaining: remaining}, Replica: replica}
	}
	plain, inherited := make([]ListingGroup, 4), []ListingGroup{{}, {}, {}, {Inherited: true}}
	items := []UnfinishedItem{at(1, 10, "fast"), at(1, 10, "slow"), at(2, 40, "fast"), at(3, 100, "fast")}
	for _, test := range []struct {
		name       string
		paces      Paces
		groups     []ListingGroup
		unfinished []UnfinishedItem
		desired    int
		want       time.Duration
	}{
		{"no groups", paces, nil, nil, 3, 0},
		{"all items have results", paces, plain, nil, 4, 0},
		{"enough groups are complete", paces, plain, items, 1, 0},
		{"the slowest item of the second group", paces, plain, items, 2, time.Second},
		{"the third group", paces, plain, items, 3, 2 * time.Second},
		{"no desired number: all groups", paces, plain, items, 0, 5 * time.Second},
		{"more desired than submitted", paces, plain, items, 9, 5 * time.Second},
		{"inherited groups count in any case", paces, inherited, items, 2, 5 * time.Second},
		{"inherited group is complete", paces, inherited, items[:3], 3, time.Second},
		{"waiting item", paces, plain, []UnfinishedItem{at(0, 10, "")}, 4, queuedDelay + 500*time.Millisecond},
		{"unknown replica", paces, plain, []UnfinishedItem{at(0, 10, "new")}, 4, 500 * time.Millisecond},
		{"about to end", paces, plain, []UnfinishedItem{at(0, 0, "fast")}, 4, 1},
		{"nothing known, waiting", Paces{}, plain, []UnfinishedItem{at(0, 10, "")}, 4, queuedDelay},
		{"nothing known, running", Paces{}, plain, []UnfinishedItem{at(0, 10, "fast")}, 4, 1},
	} {
		if got := test.paces.CompletesIn(test.groups, test.unfinished, test.desired); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}
