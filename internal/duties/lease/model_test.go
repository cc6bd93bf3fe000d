package lease

import (
	"testing"
	"time"
)

// The model check explores the behavior of two nodes that compete for the lease: store
// access whose results are lost or delayed, writes that are applied seconds later, paused
// nodes, suspended machines, crashes, graceful shutdowns, and heartbeats with old or new
// observations. It uses the product's state type, with modelTick as the unit of time.

const (
	modelTick = 2 * time.Second
	// modelAge is the age in ticks from which times are equivalent, since all periods of the
	// lease are shorter.
	modelAge = 4
	// modelStates is the maximum number of states of a search. The search reaches it before
	// it has explored all states.
	modelStates = 150_000
)

// planted is a fault injected into the product's behavior, which the check must detect.
type planted struct {
	name string
	// noWait makes successors take over without a wait.
	noWait bool
	// early makes holders release the lease after any length of tenure.
	early bool
	// newest makes writes replace the newest revision known when they are sent, instead of
	// the one known when the node decided to write.
	newest bool
	// beyond makes holders send calls after the send window.
	beyond bool
	// everAlone makes holders assume that no other node ever held the lease.
	everAlone bool
	// standsStill makes the clock of a node stop while its machine is suspended.
	standsStill bool
}

// disruption selects the disturbances in a search. With fewer of them, a search gets further
// in the same number of states.
type disruption struct {
	// lost makes the store lose results and apply writes late, crashes makes nodes restart
	// at any time instead of only after a graceful shutdown, and told makes heartbeats
	// arrive.
	lost, crashes, told bool
}

// searches are the combinations of disturbances that are searched: all of them, no lost
// results, and graceful shutdowns only, which take the most steps.
var searches = []disruption{{lost: true, crashes: true, told: true}, {crashes: true, told: true}, {}}

// search explores the worlds breadth first, and returns the first violation, "" if there is
// none, and the number of worlds found.
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

// Calls of two holders that are closer than the takeover gap could be executed out of order.
func TestNoTwoHoldersCallInTurns(t *testing.T) {
	for _, allowed := range searches {
		wrong, worlds := search(planted{}, allowed, modelStates)
		if wrong != "" {
			t.Errorf("%+v: after %d states: %s", allowed, worlds, wrong)
		}
		t.Logf("%+v: %d states", allowed, worlds)
	}
}

// A model check that misses injected faults proves nothing.
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
