package placement

import (
	"testing"
	"time"
)

// replicas returns replicas a, b, ... with six slots and the given loads.
func replicas(loads ...int) []*Replica {
	var created []*Replica
	for number, load := range loads {
		name := string(rune('a' + number))
		created = append(created, NewReplica(name, 6, load, Paces{}, ReplicaHealth{SinceEvent: time.Minute}))
	}
	return created
}

// A replica that is down has no load, so it would be picked first. Guards against urgent items
// waiting for a connection to it.
func TestPickUnresponsiveReplica(t *testing.T) {
	some := replicas(5, 3)
	down := NewReplica("down", 6, 0, Paces{}, ReplicaHealth{Unresponsive: true, SinceEvent: time.Minute})
	some = append(some, down)
	if got := Pick(some, Preference{Urgent: true}); got.Name != "b" {
		t.Errorf("an urgent item went to %s, want b", got.Name)
	}
	if got := Pick(some, Preference{}); got != down {
		t.Errorf("a non-urgent item went to %s, want the unresponsive replica so that its recovery is detected", got.Name)
	}
	down.Load++
	if got := Pick(some, Preference{}); got == down {
		t.Error("a second item went to an unresponsive replica")
	}
	down.Load--
	if got := Pick([]*Replica{down}, Preference{Urgent: true}); got != down {
		t.Error("an urgent item did not get the only replica")
	}
}

func TestPick(t *testing.T) {
	for _, test := range []struct {
		name       string
		loads      []int
		preference Preference
		want       string
	}{
		{"the least utilized", []int{5, 3, 4}, Preference{}, "b"},
		{"the first of two equal", []int{3, 3}, Preference{}, "a"},
		{"none has a free slot", []int{6, 6}, Preference{}, ""},
		{"no replica", nil, Preference{}, ""},
		{"failed replica excluded", []int{5, 3, 4}, Preference{FailedReplicas: []string{"b"}}, "c"},
		{"only the failed replica has a free slot", []int{6, 3}, Preference{FailedReplicas: []string{"b"}}, ""},
		{"failed at all replicas", []int{5, 3}, Preference{FailedReplicas: []string{"a", "b"}}, "b"},
	} {
		got := ""
		if picked := Pick(replicas(test.loads...), test.preference); picked != nil {
			got = picked.Name
		}
		if got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against counting failures at replicas that are no longer candidates.
func TestPickIgnoresFailedNonCandidates(t *testing.T) {
	failed := Preference{FailedReplicas: []string{"a", "gone"}}
	if got := Pick(replicas(0, 3), failed); got == nil || got.Name != "b" {
		t.Errorf("picked %v, want b, at which the item has not failed", got)
	}
}
