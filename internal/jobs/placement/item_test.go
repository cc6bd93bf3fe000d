package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// step is a job that a trainer submits at the given time.
type step struct {
	at    time.Duration
	items int
}

const (
	testInterval  = 50 * time.Millisecond
	testObjective = 7500 * time.Millisecond
	testSlots     = 360
)

// timedItem is an item of a replayed step.
type timedItem struct {
	view   Item
	at     time.Duration
	events int
}

// lengthOf draws the actual and the expected number of events of a text: half of the texts
// have 11 events or fewer, 1 in 20 has 65 or more, and none has more than 146.
func lengthOf(source *rand.Rand) (events, expected int) {
	const median, spread, error, longest = 11, 1.0, 0.45, 146
	known := source.NormFloat64() * spread
	exp := func(x float64) int { return min(longest, max(1, int(median*math.Exp(x)))) }
	return exp(known + source.NormFloat64()*error), exp(known)
}

// replay runs the items of the steps on testSlots slots in the order of compare. It returns
// the waiting times of the items expected to be long and of the others.
func replay(steps []step, compare func(a, b Item) int) (long, other []time.Duration) {
	source := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	var arriving, waiting []*timedItem
	for _, next := range steps {
		for rank := range next.items {
			events, expected := lengthOf(source)
			arriving = append(arriving, &timedItem{at: next.at, events: events, view: Item{
				JobStarted: start.Add(next.at), Rank: rank, Deadline: start.Add(next.at + testObjective), Objective: testObjective,
				ExpectedRunTime: time.Duration(expected) * testInterval,
			}})
		}
	}
	var running []time.Duration
	for now := time.Duration(0); len(arriving)+len(waiting) > 0; now += 10 * time.Millisecond {
		for len(arriving) > 0 && arriving[0].at <= now {
			waiting, arriving = append(waiting, arriving[0]), arriving[1:]
		}
		running = slices.DeleteFunc(running, func(end time.Duration) bool { return end <= now })
		for _, next := range waiting {
			next.view.TimeLeft = next.at + testObjective - now
		}
		slices.SortStableFunc(waiting, func(a, b *timedItem) int { return compare(a.view, b.view) })
		for len(waiting) > 0 && len(running) < testSlots {
			next := waiting[0]
			waiting = waiting[1:]
			running = append(running, now+time.Duration(next.events)*testInterval)
			if next.view.ExpectedRunTime >= testObjective/3 {
				long = append(long, now-next.at)
			} else {
				other = append(other, now-next.at)
			}
		}
	}
	return long, other
}

// Guards against the short items of the first steps taking all slots before the long items of
// later steps can start.
func TestCompareStartsLongItemsFirst(t *testing.T) {
	steps := []step{{0, 464}, {300 * time.Millisecond, 272}, {900 * time.Millisecond, 272}, {1500 * time.Millisecond, 464}}
	byAge := func(a, b Item) int {
		a.Deadline, b.Deadline = time.Time{}, time.Time{}
		return Compare(a, b)
	}
	longByAge, _ := replay(steps, byAge)
	long, other := replay(steps, Compare)
	if longest := slices.Max(long); longest > 100*time.Millisecond {
		t.Errorf("a long item waited %s after the start of its step, %s when ordered by age alone", longest, slices.Max(longByAge))
	}
	if slices.Max(longByAge) < 4*slices.Max(long) {
		t.Errorf("ordered by age alone, long items wait at most %s: the load does not fill the slots", slices.Max(longByAge))
	}
	t.Logf("longest wait of long items %s, %s when ordered by age alone; of other items %s", slices.Max(long), slices.Max(longByAge), slices.Max(other))
}

func TestCompareItemsPastDeadlineLast(t *testing.T) {
	start := time.Unix(1000, 0)
	older := Item{JobStarted: start, Deadline: start.Add(testObjective), TimeLeft: time.Second, Objective: testObjective, ExpectedRunTime: 5 * time.Second, HasProgress: true}
	newer := Item{JobStarted: start.Add(6 * time.Second), Deadline: start.Add(13500 * time.Millisecond), TimeLeft: 7 * time.Second, Objective: testObjective, ExpectedRunTime: 5 * time.Second}
	if Compare(newer, older) >= 0 {
		t.Error("an item that cannot meet its deadline runs before one that can")
	}
	older.ExpectedRunTime = 1800 * time.Millisecond
	if Compare(older, newer) >= 0 {
		t.Error("a canceled item that can meet its deadline runs after one with more slack")
	}
}

func TestItemIsUrgent(t *testing.T) {
	deadline := time.Unix(1000, 0)
	long := time.Duration(longItemFraction * float64(testObjective))
	for _, test := range []struct {
		name string
		item Item
		want bool
	}{
		{"long", Item{Deadline: deadline, TimeLeft: 7 * time.Second, ExpectedRunTime: long}, true},
		{"short", Item{Deadline: deadline, TimeLeft: 7 * time.Second, ExpectedRunTime: long - time.Millisecond}, false},
		{"short, of unknown length", Item{Deadline: deadline, TimeLeft: 7 * time.Second}, false},
		{"has progress", Item{Deadline: deadline, TimeLeft: 7 * time.Second, ExpectedRunTime: time.Second, HasProgress: true}, true},
		{"long, late within the tolerance", Item{Deadline: deadline, TimeLeft: 4 * time.Second, ExpectedRunTime: 5 * time.Second}, true},
		{"long, cannot meet the deadline", Item{Deadline: deadline, TimeLeft: 4 * time.Second, ExpectedRunTime: 5001 * time.Millisecond}, false},
		{"has progress, cannot meet the deadline", Item{Deadline: deadline, TimeLeft: -2 * time.Second, ExpectedRunTime: time.Second, HasProgress: true}, false},
		{"long, in reserve", Item{Deadline: deadline, TimeLeft: 7 * time.Second, ExpectedRunTime: long, Reserve: true}, false},
		{"long, no deadline", Item{ExpectedRunTime: long, HasProgress: true}, false},
	} {
		test.item.Objective = testObjective
		if got := test.item.IsUrgent(); got != test.want {
			t.Errorf("%s: urgent %t", test.name, got)
		}
	}
}

func TestCompareOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	item := func(priority int, age time.Duration, rank int) Item {
		return Item{
			Priority: priority, JobStarted: start.Add(-age), Rank: rank,
			Deadline: start.Add(testObjective), TimeLeft: testObjective, Objective: testObjective,
		}
	}
	urgent := func(item Item, expected time.Duration) Item {
		item.ExpectedRunTime = expected
		return item
	}
	for _, test := range []struct {
		name          string
		first, second Item
	}{
		{"priority before urgency", item(0, 0, 9), urgent(item(1, 0, 0), 5*time.Second)},
		{"urgency before age", urgent(item(0, 0, 9), 5*time.Second), item(0, 10*time.Second, 0)},
		{"urgent items by slack", urgent(item(0, 0, 9), 6*time.Second), urgent(item(0, 10*time.Second, 0), 5*time.Second)},
		{"urgent items with equal slack by age", urgent(item(0, 10*time.Second, 9), 5*time.Second), urgent(item(0, 0, 0), 5*time.Second)},
		{"age before rank", item(0, ageStep, 9), item(0, 0, 0)},
		{"rank if ages differ by less than a step", item(0, -time.Second, 0), item(0, 0, 9)},
	} {
		if Compare(test.first, test.second) >= 0 || Compare(test.second, test.first) <= 0 {
			t.Errorf("%s: the first item does not run first", test.name)
		}
	}
}
