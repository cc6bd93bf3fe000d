package placement

import (
	"testing"
	"time"
)

func TestMaxLoadOf(t *testing.T) {
	for _, test := range []struct {
		name        string
		slots, load int
		health      ReplicaHealth
		want        int
	}{
		{"healthy", 6, 2, ReplicaHealth{}, 6},
		{"failing", 6, 2, ReplicaHealth{Failing: true}, FailingRuns},
		{"failing, without slots", 0, 0, ReplicaHealth{Failing: true}, 0},
		{"unresponsive", 6, 2, ReplicaHealth{Unresponsive: true}, 2 + unresponsiveRuns},
		{"unresponsive and full", 6, 6, ReplicaHealth{Unresponsive: true}, 6},
		{"failing and unresponsive", 6, 2, ReplicaHealth{Failing: true, Unresponsive: true}, FailingRuns},
	} {
		if got := maxLoadOf(test.slots, test.load, test.health); got != test.want {
			t.Errorf("%s: max load %d, want %d", test.name, got, test.want)
		}
	}
}

// Each case compares replica a with replica b, which is healthy, has the median interval and
// no open connections.
func TestPickOrderByUtilization(t *testing.T) {
	const cold = time.Minute
	for _, test := range []struct {
		name        string
		interval    int
		load, other int
		health      ReplicaHealth
		want        string
	}{
		{"less load", 50, 2, 3, ReplicaHealth{SinceEvent: cold}, "a"},
		{"more load", 50, 3, 2, ReplicaHealth{SinceEvent: cold}, "b"},
		{"open connections, two more items", 50, 3, 1, ReplicaHealth{}, "b"},
		{"open connections, one more item", 50, 2, 1, ReplicaHealth{}, "a"},
		{"10% slower, one item fewer", 55, 0, 1, ReplicaHealth{SinceEvent: cold}, "b"},
		{"10% slower, two items fewer", 55, 0, 2, ReplicaHealth{SinceEvent: cold}, "a"},
		{"slow, the other nearly full", 90, 0, 5, ReplicaHealth{SinceEvent: cold}, "b"},
		{"failing, the other nearly full", 50, 0, 5, ReplicaHealth{Failing: true, SinceEvent: cold}, "b"},
		{"slow, the other full", 90, 0, 6, ReplicaHealth{SinceEvent: cold}, "a"},
	} {
		paces := pacesOf(test.interval, 50, 50, 50)
		first := NewReplica("a", 6, test.load, paces, test.health)
		second := NewReplica("b", 6, test.other, paces, ReplicaHealth{SinceEvent: cold})
		if got := Pick([]*Replica{second, first}, Preference{}); got.Name != test.want {
			t.Errorf("%s: picked %s, want %s", test.name, got.Name, test.want)
		}
	}
}
