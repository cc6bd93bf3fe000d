package lease

import (
	"fmt"
	"time"
)

// next lists the worlds that may follow, and what is wrong with a call.
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

// storeSteps are those of a node's calls to the store.
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

// decide has a node decide as the product does.
func (w modelWorld) decide(i int, fault planted, justRead bool) decision {
	known := w.nodes[i].state
	if fault.noWait {
		// A released lease is not waited for.
		known.released = true
	}
	return known.decide(w.clock(i), justRead)
}

// prepareWrite has a node read the lease if it must, and be ready to write it where it
// still need not wait.
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

// unlessLost has a write that was sent done and answered at once, where nothing
// is lost: that saves most of the steps.
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

// answer has a node take the answer to its write.
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

// writeSteps are what may become of a write in flight: it is done, its condition
// does not hold, or its sender gives it up and it may be done later.
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

// nodeSteps are a start anew and a heartbeat from the other node.
func (w modelWorld) nodeSteps(i int, allowed disruption) (following []modelWorld) {
	node := w.nodes[i]
	if allowed.crashes || (node.state.stopped && node.inFlight == nil && node.done == nil) {
		anew := w
		if node.inFlight != nil && allowed.lost {
			anew.late[i] = node.inFlight
		}
		anew.nodes[i] = modelNode{state: state{node: modelNames[i], term: DefaultTerm}}
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

// stops are the planned stops of a node.
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

// call has a node send a call, if it may, and judges it as receivers do.
func (w modelWorld) call(i int, fault planted) (called modelWorld, calls bool, wrong string) {
	token, valid := w.nodes[i].state.valid(w.clock(i))
	if fault.beyond && token != 0 {
		valid = true
	}
	if !valid {
		return w, false, ""
	}
	switch {
	// Where clocks stand still, since when a node is alone does not compare with the
	// calls of the other.
	case token < w.token:
		return w, false, fmt.Sprintf("token %d after %d", token, w.token)
	case token == w.token && w.last != i:
		return w, false, fmt.Sprintf("both sent token %d", token)
	case w.last == 1-i && time.Duration(w.now-w.acted[i])*modelTick < DefaultTerm:
		return w, false, "calls in turns within the term"
	case !fault.standsStill && w.acted[1-i] > -modelAge && w.at(w.acted[1-i]).After(w.nodes[i].aloneSince(w, fault)):
		return w, false, "the other has called since this one holds the lease alone"
	}
	w.last, w.token = i, token
	w.acted[i] = w.now
	return w, true, ""
}

// aloneSince is since when a node believes that no other has held the lease.
func (n *modelNode) aloneSince(world modelWorld, fault planted) time.Time {
	if fault.everAlone {
		return world.at(-modelAge)
	}
	return n.state.soleSince
}
