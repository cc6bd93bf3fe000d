package lease

import (
	"testing"
	"time"
)

// The model check goes through what may happen to two nodes that contend for the
// lease: calls to the store whose answers are lost or late, writes that are done
// seconds later, nodes that stand still or whose machine is suspended, are started anew or stop as planned, and
// heartbeats that bring old or new word. It uses the state of the product as it
// is, with two seconds a tick.

const (
	modelTick = 2 * time.Second
	// modelAge is from which age in ticks on instants are alike: all spans of the
	// lease are shorter.
	modelAge = 4
	// modelStates bounds the search. It is reached: the instants since which
	// something holds combine freely.
	modelStates = 150_000
)

// planted is a fault that the check has to find.
type planted struct {
	name string
	// noWait has successors not wait for the last holder.
	noWait bool
	// early has holders release the lease whatever their tenure.
	early bool
	// newest has writes replace the newest revision known when they are sent, and
	// not the one known when the wait was over.
	newest bool
	// beyond has holders send calls after their window.
	beyond bool
	// everAlone has holders believe that no other node ever held the lease.
	everAlone bool
	// standsStill has the clock of a node stand still while its machine is suspended.
	standsStill bool
}

// disruption is what may go wrong in a search. Without lost answers it gets much
// further in as many states.
type disruption struct {
	// lost has answers of the store get lost and writes be done late, crashes has
	// nodes be started anew at any moment and not after a planned stop alone, and
	// told has heartbeats arrive.
	lost, crashes, told bool
}

// The searches: whatever may happen, without what is lost, and planned stops
// alone, which take the most steps.
var searches = []disruption{{lost: true, crashes: true, told: true}, {crashes: true, told: true}, {}}

// search goes through the worlds breadth first and returns what is wrong with
// one, or how many there were.
func search(fault planted, allowed disruption, most int) (wrong string, worlds int) {
	queue := []modelWorld{firstWorld()}
	visited := map[string]bool{queue[0].key(): true}
	for len(queue) > 0 {
		world := queue[0]
		queue = queue[1:]
		following, problem := world.next(fault, allowed)
		if problem != "" {
			return problem, len(visited)
		}
		for i := range world.nodes {
			following = append(following, world.stops(i, fault, allowed)...)
		}
		for _, next := range following {
			key := next.key()
			if visited[key] || len(visited) >= most {
				continue
			}
			visited[key] = true
			queue = append(queue, next)
		}
	}
	return "", len(visited)
}

func TestNoTwoHoldersCallInTurns(t *testing.T) {
	for _, allowed := range searches {
		wrong, worlds := search(planted{}, allowed, modelStates)
		if wrong != "" {
			t.Errorf("%+v: after %d states: %s", allowed, worlds, wrong)
		}
		t.Logf("%+v: %d states", allowed, worlds)
	}
}

// The check is worth something: it finds each fault that is planted.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, test := range []struct {
		fault   planted
		allowed disruption
	}{
		{planted{name: "successors do not wait", noWait: true}, searches[0]},
		{planted{name: "the newest revision is replaced", newest: true}, searches[0]},
		{planted{name: "calls after the window", beyond: true}, searches[1]},
		{planted{name: "other holders are forgotten", everAlone: true}, searches[1]},
		{planted{name: "the clock stands still in a suspension", standsStill: true}, searches[1]},
		{planted{name: "released after a short tenure", early: true}, searches[2]},
	} {
		wrong, worlds := search(test.fault, test.allowed, modelStates)
		if wrong == "" {
			t.Errorf("%s: not found in %d states", test.fault.name, worlds)
		} else {
			t.Logf("%s: found after %d states: %s", test.fault.name, worlds, wrong)
		}
	}
}
