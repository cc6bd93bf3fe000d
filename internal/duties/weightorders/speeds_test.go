package weightorders

import (
	"fmt"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// unevenReplicas returns 45 replicas with 8 slots, of which the first 30 send an event in one
// interval and the other 15 in another, with the speeds that count after some time.
func unevenReplicas(fastMs, slowMs int) ([]*directory.Replica, *speeds) {
	all, intervals, listed := replicas(45), map[string]time.Duration{}, map[string]bool{}
	for number, replica := range all {
		replica.Slots = 8
		listed[replica.ID] = true
		intervals[replica.ID] = time.Duration(fastMs) * time.Millisecond
		if number >= 30 {
			intervals[replica.ID] = time.Duration(slowMs) * time.Millisecond
		}
	}
	tracker, now := newSpeedTracker(), time.Now()
	tracker.update(listed, intervals, nil, now)
	return all, tracker.update(listed, intervals, nil, now.Add(changeDuration))
}

// Speeds must not change the decisions of deployments with even or mostly unknown replicas,
// and must count in those of the design page.
func TestWhenSpeedsCount(t *testing.T) {
	for _, test := range []struct {
		name           string
		fastMs, slowMs int
		known          int
		want           bool
	}{
		{"deployment A", 35, 83, 45, true},
		{"deployment B", 49, 62, 45, true},
		{"even", 50, 50, 45, false},
		{"nearly even", 50, 58, 45, false},
		{"half is known", 35, 83, 23, true},
		{"less than half is known", 35, 83, 22, false},
		{"none is known", 35, 83, 0, false},
	} {
		tracker, listed, intervals := newSpeedTracker(), map[string]bool{}, map[string]time.Duration{}
		for number := range 45 {
			id := fmt.Sprint(number)
			listed[id] = true
			if number < test.known {
				intervals[id] = time.Duration(test.fastMs) * time.Millisecond
				if number%3 == 0 {
					intervals[id] = time.Duration(test.slowMs) * time.Millisecond
				}
			}
		}
		now := time.Now()
		if tracker.update(listed, intervals, nil, now) != nil {
			t.Errorf("%s: speeds count at once", test.name)
		}
		known := tracker.update(listed, intervals, nil, now.Add(changeDuration))
		if (known != nil) != test.want {
			t.Errorf("%s: speeds count %v", test.name, known != nil)
		}
		even := map[string]time.Duration{}
		for id := range intervals {
			even[id] = 50 * time.Millisecond
		}
		for second := range 3 {
			if !tracker.update(listed, even, nil, now.Add(changeDuration+time.Duration(second)*time.Second)).equal(known) {
				t.Errorf("%s: speeds changed after %d s of even intervals", test.name, second)
			}
		}
		if known != nil && (known.isFast("0") || !known.isFast("1")) {
			t.Errorf("%s: the slow replica is fast or the fast one is not", test.name)
		}
	}
	if all, intervals := replicas(7), map[string]time.Duration{}; true {
		tracker, listed := newSpeedTracker(), map[string]bool{}
		for number, replica := range all {
			listed[replica.ID], intervals[replica.ID] = true, time.Duration(35+10*number)*time.Millisecond
		}
		tracker.update(listed, intervals, nil, time.Now())
		if tracker.update(listed, intervals, nil, time.Now().Add(time.Minute)) != nil {
			t.Error("speeds of 7 replicas count")
		}
	}
}

// A class that follows each disturbance would move homes, each of which costs a load.
func TestClassChangesMustLast(t *testing.T) {
	tracker, now := newClassTracker(minSpeedRatio), time.Now()
	observe := func(value float64, seconds int) int {
		for range seconds {
			now = now.Add(time.Second)
			tracker.update(map[string]float64{"a": value}, 35, now)
		}
		return tracker.held["a"]
	}
	observe(35, 13)
	for range 10 {
		if class := observe(2.5*35, 4); class != 0 {
			t.Fatalf("class %d during a disturbance of 4 s, want 0", class)
		}
		observe(35, 1)
	}
	if class := observe(35*1.13, 60); class != 0 {
		t.Errorf("class %d at 1.13 times the interval, want 0", class)
	}
	if class := observe(83, 13); class != 5 {
		t.Errorf("class %d after 13 s at 83 ms instead of 35, want 5", class)
	}
}

// Machines whose speed is forgotten while no job runs, or while an outage of the store hides
// all replicas, would be homes of other models afterwards, and load in any order.
func TestSpeedsOutlastPauses(t *testing.T) {
	tracker, listed, intervals, now := newSpeedTracker(), map[string]bool{}, map[string]time.Duration{}, time.Now()
	for number := range 16 {
		id := fmt.Sprint(number)
		listed[id], intervals[id] = true, time.Duration(35+48*(number%2))*time.Millisecond
	}
	tracker.update(listed, intervals, nil, now)
	before := tracker.update(listed, intervals, nil, now.Add(changeDuration))
	paused := tracker.update(listed, nil, nil, now.Add(changeDuration+time.Minute))
	if before == nil || !paused.equal(before) {
		t.Error("speeds changed in a pause of a minute")
	}
	hidden := now.Add(changeDuration + 2*time.Minute)
	if tracker.update(nil, intervals, nil, hidden) != nil {
		t.Error("speeds count without replicas")
	}
	if !tracker.update(listed, nil, nil, hidden.Add(time.Minute)).equal(before) {
		t.Error("speeds changed while the replicas were hidden for a minute")
	}
	if tracker.update(listed, nil, nil, now.Add(changeDuration+speedRetention)) != nil {
		t.Error("speeds count after 5 minutes without intervals")
	}
}

// A ratio near the threshold must not move homes back and forth.
func TestSpeedsCountUntilNearlyEven(t *testing.T) {
	tracker, listed, now := newSpeedTracker(), map[string]bool{}, time.Now()
	for _, step := range []struct {
		slowMs int
		want   bool
	}{{49 * 115 / 100, false}, {62, true}, {49 * 115 / 100, true}, {50, false}} {
		var known *speeds
		for range 14 {
			intervals := map[string]time.Duration{}
			for number := range 45 {
				id := fmt.Sprint(number)
				listed[id], intervals[id] = true, 49*time.Millisecond
				if number >= 30 {
					intervals[id] = time.Duration(step.slowMs) * time.Millisecond
				}
			}
			now = now.Add(time.Second)
			known = tracker.update(listed, intervals, nil, now)
		}
		if (known != nil) != step.want {
			t.Errorf("speeds count %v after 14 s of 49 and %d ms, want %v", known != nil, step.slowMs, step.want)
		}
	}
}
