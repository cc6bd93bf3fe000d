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

// injectedFault is a change of the product's behavior that the check must detect.
type injectedFault struct {
	name string
	// noWait makes successors take over without a wait.
	noWait bool
	// releasesEarly makes holders release the lease after any length of tenure.
	releasesEarly bool
	// replacesNewest makes writes replace the newest revision known when they are sent,
	// instead of the one known when the node decided to write.
	replacesNewest bool
	// callsAfterWindow makes holders send calls after the send window.
	callsAfterWindow bool
	// ignoresOthers makes holders assume that no other node ever held the lease.
	ignoresOthers bool
	// clockStops makes the clock of a node stop while its machine is suspended.
	clockStops bool
}

// disturbances are those that may occur in a search. With fewer of them, a search gets
// further in the same number of states.
type disturbances struct {
	// lostResults makes the store lose results and apply writes late, crashes makes nodes
	// restart at any time instead of only after a graceful shutdown, and heartbeats makes
	// heartbeats arrive.
	lostResults, crashes, heartbeats bool
}

// searches are the combinations of disturbances that are searched: all of them, no lost
// results, and graceful shutdowns only, which take the most steps.
var searches = []disturbances{{lostResults: true, crashes: true, heartbeats: true}, {crashes: true, heartbeats: true}, {}}

// search explores the worlds breadth first, and returns the first violation, "" if there is
// none, and the number of worlds found.
func search(fault injectedFault, allowed disturbances, maxStates int) (violation string, states int) {
	queue := []modelWorld{firstWorld()}
	visited := map[string]bool{queue[0].key(): true}
	for len(queue) > 0 {
		world := queue[0]
		queue = queue[1:]
		nextWorlds, problem := world.next(fault, allowed)
		if problem != "" {
			return problem, len(visited)
		}
		for i := range world.nodes {
			nextWorlds = append(nextWorlds, world.shutdownSteps(i, fault, allowed)...)
		}
		for _, next := range nextWorlds {
			key := next.key()
			if visited[key] || len(visited) >= maxStates {
				continue
			}
			visited[key] = true
			queue = append(queue, next)
		}
	}
	return "", len(visited)
}

// Calls of two holders that are closer than the takeover gap could be executed out of order.
func TestModelHoldersNeverOverlap(t *testing.T) {
	for _, allowed := range searches {
		violation, states := search(injectedFault{}, allowed, modelStates)
		if violation != "" {
			t.Errorf("%+v: violation after %d states: %s", allowed, states, violation)
		}
		t.Logf("%+v: %d states", allowed, states)
	}
}

// A model check that misses injected faults proves nothing.
func TestModelDetectsInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		fault   injectedFault
		allowed disturbances
	}{
		{injectedFault{name: "successors do not wait", noWait: true}, searches[0]},
		{injectedFault{name: "writes replace the newest revision", replacesNewest: true}, searches[0]},
		{injectedFault{name: "calls after the send window", callsAfterWindow: true}, searches[1]},
		{injectedFault{name: "other holders are ignored", ignoresOthers: true}, searches[1]},
		{injectedFault{name: "the clock stops in a suspension", clockStops: true}, searches[1]},
		{injectedFault{name: "release after a short tenure", releasesEarly: true}, searches[2]},
	} {
		violation, states := search(test.fault, test.allowed, modelStates)
		if violation == "" {
			t.Errorf("%s: fault not detected in %d states", test.fault.name, states)
		} else {
			t.Logf("%s: fault detected after %d states: %s", test.fault.name, states, violation)
		}
	}
}
