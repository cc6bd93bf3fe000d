package placement

import (
	"testing"
	"time"
)

// replicas returns replicas a, b, ... with six slots and some load each.
func replicas(loads ...int) []*Replica {
	var made []*Replica
	for number, load := range loads {
		name := string(rune('a' + number))
		made = append(made, NewReplica(name, 6, load, Paces{}, Condition{SinceEvent: time.Minute}))
	}
	return made
}

// Replicas that had gone were tried with one long item after the other, each of which
// waited for a connection in vain: they have no load, so they came first.
func TestUrgentItemsTryAReplicaThatMayBeDownLast(t *testing.T) {
	some := replicas(5, 3)
	down := NewReplica("down", 6, 0, Paces{}, Condition{Unproven: true, SinceEvent: time.Minute})
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
