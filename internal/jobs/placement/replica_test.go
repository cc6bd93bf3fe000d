package placement

import (
	"testing"
	"time"
)

func TestMaxLoadOfAReplica(t *testing.T) {
	for _, test := range []struct {
		name        string
		slots, load int
		condition   ReplicaHealth
		want        int
	}{
		{"healthy", 6, 2, ReplicaHealth{}, 6},
		{"failing", 6, 2, ReplicaHealth{Failing: true}, FailingRuns},
		{"failing, without slots", 0, 0, ReplicaHealth{Failing: true}, 0},
		{"unproven", 6, 2, ReplicaHealth{Unresponsive: true}, 2 + unprovenRuns},
		{"unproven and full", 6, 6, ReplicaHealth{Unresponsive: true}, 6},
		{"failing and unproven", 6, 2, ReplicaHealth{Failing: true, Unresponsive: true}, FailingRuns},
	} {
		if got := maxLoadOf(test.slots, test.load, test.condition); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}

// Each case compares replica a with replica b, which is healthy, has the median interval and
// no open connections.
func TestOrderOfReplicasByUse(t *testing.T) {
	const cold = time.Minute
	for _, test := range []struct {
		name        string
		interval    int
		load, other int
		condition   ReplicaHealth
		want        string
	}{
		{"the emptier one", 50, 2, 3, ReplicaHealth{SinceEvent: cold}, "a"},
		{"the fuller one", 50, 3, 2, ReplicaHealth{SinceEvent: cold}, "b"},
		{"with open connections, a little fuller", 50, 3, 1, ReplicaHealth{}, "b"},
		{"with open connections, hardly fuller", 50, 2, 1, ReplicaHealth{}, "a"},
		{"a tenth slower, and emptier by less than that costs", 55, 0, 1, ReplicaHealth{SinceEvent: cold}, "b"},
		{"a tenth slower, and emptier by more than that costs", 55, 0, 2, ReplicaHealth{SinceEvent: cold}, "a"},
		{"slow, and the other one nearly full", 90, 0, 5, ReplicaHealth{SinceEvent: cold}, "b"},
		{"failing, and the other one nearly full", 50, 0, 5, ReplicaHealth{Failing: true, SinceEvent: cold}, "b"},
		{"slow, and the other one full", 90, 0, 6, ReplicaHealth{SinceEvent: cold}, "a"},
	} {
		paces := pacesOf(test.interval, 50, 50, 50)
		first := NewReplica("a", 6, test.load, paces, test.condition)
		second := NewReplica("b", 6, test.other, paces, ReplicaHealth{SinceEvent: cold})
		if got := Pick([]*Replica{second, first}, Preference{}); got.Name != test.want {
			t.Errorf("%s: %s, want %s", test.name, got.Name, test.want)
		}
	}
}
