package lease

import (
	"fmt"
	"time"
)

// next returns the possible successors of a world, or the violation if a call violates the
// guarantees.
func (w modelWorld) next(fault planted, allowed disruption) (following []modelWorld, wrong string) {
	following = append(following, w.later())
	for i := range w.nodes {
		if fault.standsStill {
			suspended := w.later()
			suspended.nodes[i].behind++
			following = append(following, suspended)
		}
		following = append(following, w.storeSteps(i, fault, allowed)...)
		following = append(following, w.nodeSteps(i, allowed)...)
		called, calls, problem := w.call(i, fault)
		if problem != "" {
			return nil, problem
		}
		if calls {
			following = append(following, called)
		}
	}
	return following, ""
}

func (w modelWorld) later() modelWorld {
	w.now++
	return w
}

// storeSteps returns the worlds after the possible steps of a node's store access.
func (w modelWorld) storeSteps(i int, fault planted, allowed disruption) (following []modelWorld) {
	node := w.nodes[i]
	if node.inFlight == nil && node.done == nil && !node.ready && !node.state.stopped {
		next := w.decide(i, fault, false)
		if next.action != actionWait {
			following = append(following, w.prepareWrite(i, fault, next))
		}
	}
	if node.ready {
		sent := w
		replaces := node.replaces
		if fault.newest {
			replaces = node.state.revision
		}
		sent.nodes[i].ready, sent.nodes[i].inFlight = false, &modelWrite{replaces: replaces, sent: w.now - node.behind}
		following = append(following, sent.unlessLost(i, allowed))
	}
	if node.inFlight != nil {
		following = append(following, w.writeSteps(i, allowed)...)
	}
	if node.done != nil {
		following = append(following, w.answer(i))
		if allowed.lost {
			lost := w
			lost.nodes[i].done = nil
			lost.nodes[i].state.recordNoAnswer()
			following = append(following, lost)
		}
	}
	if w.late[i] != nil {
		arrived := w
		arrived.late[i] = nil
		arrived.apply(i, w.late[i])
		following = append(following, arrived)
	}
	return following
}

// decide returns a node's decision by the product code, with the injected fault.
func (w modelWorld) decide(i int, fault planted, justRead bool) decision {
	known := w.nodes[i].state
	if fault.noWait {
		// The product code does not wait for a released lease.
		known.released = true
	}
	return known.decide(w.clock(i), justRead)
}

// prepareWrite makes a node read the lease if it must, and prepares its write if it then need
// not wait.
func (w modelWorld) prepareWrite(i int, fault planted, next decision) modelWorld {
	if next.action == actionRead {
		w.nodes[i].state.recordRead(w.clock(i), w.stored())
		next = w.decide(i, fault, true)
	}
	if next.action == actionTake || next.action == actionRenew {
		w.nodes[i].ready, w.nodes[i].replaces = true, next.replaces
	}
	return w
}

// unlessLost applies and confirms a write immediately if no responses are lost, which saves
// most of the steps.
func (w modelWorld) unlessLost(i int, allowed disruption) modelWorld {
	if allowed.lost {
		return w
	}
	carried := w.writeSteps(i, allowed)[0]
	if carried.nodes[i].done != nil {
		carried = carried.answer(i)
	}
	return carried
}

// answer makes a node receive the result of its write.
func (w modelWorld) answer(i int) modelWorld {
	node := &w.nodes[i]
	if node.done.release {
		node.state.observe(w.clock(i), Observation{Holder: modelNames[i], Revision: node.revision, Released: true})
	} else {
		node.state.recordWrite(w.at(node.done.sent), node.revision)
	}
	node.done = nil
	return w
}

// writeSteps returns the worlds after the possible outcomes of a write in flight: it is
// applied, its condition fails, or its sender times out and it may be applied later.
func (w modelWorld) writeSteps(i int, allowed disruption) []modelWorld {
	write := w.nodes[i].inFlight
	carried := w
	carried.nodes[i].inFlight = nil
	if revision := carried.apply(i, write); revision > 0 {
		carried.nodes[i].done, carried.nodes[i].revision = write, revision
	} else {
		carried.nodes[i].state.recordConflict(w.clock(i), w.stored())
	}
	if !allowed.lost {
		return []modelWorld{carried}
	}
	givenUp := w
	givenUp.nodes[i].inFlight, givenUp.late[i] = nil, write
	givenUp.nodes[i].state.recordNoAnswer()
	return []modelWorld{carried, givenUp}
}

// nodeSteps returns the worlds after a restart of a node, and after a heartbeat from the other
// node.
func (w modelWorld) nodeSteps(i int, allowed disruption) (following []modelWorld) {
	node := w.nodes[i]
	if allowed.crashes || (node.state.stopped && node.inFlight == nil && node.done == nil) {
		anew := w
		if node.inFlight != nil && allowed.lost {
			anew.late[i] = node.inFlight
		}
		anew.nodes[i] = modelNode{state: state{node: modelNames[i], term: DefaultTakeoverGap}}
		following = append(following, anew)
	}
	if allowed.told {
		told := w
		other := w.nodes[1-i].state
		told.nodes[i].state.observe(w.clock(i), Observation{Holder: other.holder, Revision: other.revision, Released: other.released})
		following = append(following, told)
	}
	return following
}

// stops returns the worlds after a graceful shutdown of a node.
func (w modelWorld) stops(i int, fault planted, allowed disruption) (following []modelWorld) {
	node := w.nodes[i]
	if node.state.stopped || node.inFlight != nil || node.done != nil {
		return nil
	}
	stopped := w
	mayRelease := node.state.mayRelease(w.clock(i)) || (fault.early && node.state.token != 0 && node.state.holder == modelNames[i])
	stopped.nodes[i].state.stop()
	stopped.nodes[i].ready = false
	if mayRelease {
		stopped.nodes[i].inFlight = &modelWrite{replaces: node.state.revision, release: true, sent: w.now - node.behind}
		stopped = stopped.unlessLost(i, allowed)
	}
	return append(following, stopped)
}

// call makes a node send a call if it may, and checks the guarantees to receivers.
func (w modelWorld) call(i int, fault planted) (called modelWorld, calls bool, wrong string) {
	token, valid := w.nodes[i].state.valid(w.clock(i))
	if fault.beyond && token != 0 {
		valid = true
	}
	if !valid {
		return w, false, ""
	}
	switch {
	// If clocks stop in a suspension, the start of sole tenure can't be compared with the
	// times of the other node's calls.
	case token < w.token:
		return w, false, fmt.Sprintf("token %d after %d", token, w.token)
	case token == w.token && w.last != i:
		return w, false, fmt.Sprintf("both sent token %d", token)
	case w.last == 1-i && time.Duration(w.now-w.acted[i])*modelTick < DefaultTakeoverGap:
		return w, false, "calls in turns within the term"
	case !fault.standsStill && w.acted[1-i] > -modelAge && w.at(w.acted[1-i]).After(w.nodes[i].aloneSince(w, fault)):
		return w, false, "the other has called since this one holds the lease alone"
	}
	w.last, w.token = i, token
	w.acted[i] = w.now
	return w, true, ""
}

// aloneSince returns the time since which a node assumes that no other has held the lease.
func (n *modelNode) aloneSince(world modelWorld, fault planted) time.Time {
	if fault.everAlone {
		return world.at(-modelAge)
	}
	return n.state.soleSince
}
