package placement

import (
	"testing"
	"time"
)

// replicas returns replicas a, b, ... with six slots and the given loads.
func replicas(loads ...int) []*Replica {
	var made []*Replica
	for number, load := range loads {
		name := string(rune('a' + number))
		made = append(made, NewReplica(name, 6, load, Paces{}, ReplicaHealth{SinceEvent: time.Minute}))
	}
	return made
}

// A replica that is down has no load, so it would be picked first. Guards against urgent items
// waiting for a connection to it.
func TestUrgentItemsTryAReplicaThatMayBeDownLast(t *testing.T) {
	some := replicas(5, 3)
	down := NewReplica("down", 6, 0, Paces{}, ReplicaHealth{Unresponsive: true, SinceEvent: time.Minute})
	some = append(some, down)
	if got := Pick(some, Preference{Urgent: true}); got.Name != "b" {
		t.Errorf("an urgent item goes to %s", got.Name)
	}
	if got := Pick(some, Preference{}); got != down {
		t.Errorf("another item goes to %s, and nobody finds out whether the replica is back", got.Name)
	}
	down.Load++
	if got := Pick(some, Preference{}); got == down {
		t.Error("two items at once go to a replica that may be down")
	}
	down.Load--
	if got := Pick([]*Replica{down}, Preference{Urgent: true}); got != down {
		t.Error("an urgent item has nowhere to go")
	}
}

func TestReplicaOfAnItem(t *testing.T) {
	for _, test := range []struct {
		name       string
		loads      []int
		preference Preference
		want       string
	}{
		{"the least used", []int{5, 3, 4}, Preference{}, "b"},
		{"the first of two alike", []int{3, 3}, Preference{}, "a"},
		{"none has room", []int{6, 6}, Preference{}, ""},
		{"no replica", nil, Preference{}, ""},
		{"not the one that has failed it", []int{5, 3, 4}, Preference{FailedReplicas: []string{"b"}}, "c"},
		{"only one that has failed it has room", []int{6, 3}, Preference{FailedReplicas: []string{"b"}}, ""},
		{"all have failed it", []int{5, 3}, Preference{FailedReplicas: []string{"a", "b"}}, "b"},
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
func TestAnItemLeavesAReplicaThatFailedItThoughAnotherOneIsGone(t *testing.T) {
	failed := Preference{FailedReplicas: []string{"a", "gone"}}
	if got := Pick(replicas(0, 3), failed); got == nil || got.Name != "b" {
		t.Errorf("went to %v, want b, which has not failed it", got)
	}
}
