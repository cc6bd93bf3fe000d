package lease

import (
	"fmt"
	"time"
)

// next returns the worlds that can follow, or a violation if a call breaks the guarantees of
// the package.
func (w modelWorld) next(fault injectedFault, allowed disturbances) (nextWorlds []modelWorld, violation string) {
	nextWorlds = append(nextWorlds, w.nextTick())
	for i := range w.nodes {
		if fault.clockStops {
			suspended := w.nextTick()
			suspended.nodes[i].clockLag++
			nextWorlds = append(nextWorlds, suspended)
		}
		nextWorlds = append(nextWorlds, w.storeSteps(i, fault, allowed)...)
		nextWorlds = append(nextWorlds, w.nodeSteps(i, allowed)...)
		called, calls, problem := w.call(i, fault)
		if problem != "" {
			return nil, problem
		}
		if calls {
			nextWorlds = append(nextWorlds, called)
		}
	}
	return nextWorlds, ""
}

func (w modelWorld) nextTick() modelWorld {
	w.now++
	return w
}

// storeSteps returns the worlds after the possible steps of a node's store access.
func (w modelWorld) storeSteps(i int, fault injectedFault, allowed disturbances) (nextWorlds []modelWorld) {
	node := w.nodes[i]
	if node.inFlight == nil && node.applied == nil && !node.ready && !node.state.stopped {
		next := w.decide(i, fault, false)
		if next.action != actionWait {
			nextWorlds = append(nextWorlds, w.prepareWrite(i, fault, next))
		}
	}
	if node.ready {
		sent := w
		replaces := node.replaces
		if fault.replacesNewest {
			replaces = node.state.revision
		}
		sent.nodes[i].ready, sent.nodes[i].inFlight = false, &modelWrite{replaces: replaces, sent: w.now - node.clockLag}
		nextWorlds = append(nextWorlds, sent.completeIfReliable(i, allowed))
	}
	if node.inFlight != nil {
		nextWorlds = append(nextWorlds, w.writeSteps(i, allowed)...)
	}
	if node.applied != nil {
		nextWorlds = append(nextWorlds, w.receiveResult(i))
		if allowed.lostResults {
			lost := w
			lost.nodes[i].applied = nil
			lost.nodes[i].state.recordUnanswered()
			nextWorlds = append(nextWorlds, lost)
		}
	}
	if w.lateWrites[i] != nil {
		arrived := w
		arrived.lateWrites[i] = nil
		arrived.apply(i, w.lateWrites[i])
		nextWorlds = append(nextWorlds, arrived)
	}
	return nextWorlds
}

// decide returns a node's decision by the product code, with the injected fault.
func (w modelWorld) decide(i int, fault injectedFault, justRead bool) decision {
	known := w.nodes[i].state
	if fault.noWait {
		// The product code does not wait for a released lease.
		known.released = true
	}
	return known.decide(w.clock(i), justRead)
}

// prepareWrite makes a node read the lease if it must, and prepares its write if it then need
// not wait.
func (w modelWorld) prepareWrite(i int, fault injectedFault, next decision) modelWorld {
	if next.action == actionRead {
		w.nodes[i].state.recordRead(w.clock(i), w.stored())
		next = w.decide(i, fault, true)
	}
	if next.action == actionTake || next.action == actionRenew {
		w.nodes[i].ready, w.nodes[i].replaces = true, next.replaces
	}
	return w
}

// completeIfReliable applies and confirms a write immediately if no results are lost, which
// saves most of the steps.
func (w modelWorld) completeIfReliable(i int, allowed disturbances) modelWorld {
	if allowed.lostResults {
		return w
	}
	completed := w.writeSteps(i, allowed)[0]
	if completed.nodes[i].applied != nil {
		completed = completed.receiveResult(i)
	}
	return completed
}

// receiveResult makes a node receive the result of its write.
func (w modelWorld) receiveResult(i int) modelWorld {
	node := &w.nodes[i]
	if node.applied.release {
		node.state.observe(w.clock(i), Observation{Holder: modelNames[i], Revision: node.appliedRevision, Released: true})
	} else {
		node.state.recordWrite(w.timeAt(node.applied.sent), node.appliedRevision)
	}
	node.applied = nil
	return w
}

// writeSteps returns the worlds after the possible outcomes of a write in flight: it is
// applied, its condition fails, or its sender times out and it may be applied later.
func (w modelWorld) writeSteps(i int, allowed disturbances) []modelWorld {
	write := w.nodes[i].inFlight
	completed := w
	completed.nodes[i].inFlight = nil
	if revision := completed.apply(i, write); revision > 0 {
		completed.nodes[i].applied, completed.nodes[i].appliedRevision = write, revision
	} else {
		completed.nodes[i].state.recordConflict(w.clock(i), w.stored())
	}
	if !allowed.lostResults {
		return []modelWorld{completed}
	}
	timedOut := w
	timedOut.nodes[i].inFlight, timedOut.lateWrites[i] = nil, write
	timedOut.nodes[i].state.recordUnanswered()
	return []modelWorld{completed, timedOut}
}

// nodeSteps returns the worlds after a restart of a node, and after a heartbeat from the other
// node.
func (w modelWorld) nodeSteps(i int, allowed disturbances) (nextWorlds []modelWorld) {
	node := w.nodes[i]
	if allowed.crashes || (node.state.stopped && node.inFlight == nil && node.applied == nil) {
		restarted := w
		if node.inFlight != nil && allowed.lostResults {
			restarted.lateWrites[i] = node.inFlight
		}
		restarted.nodes[i] = modelNode{state: state{node: modelNames[i], takeoverGap: DefaultTakeoverGap}}
		nextWorlds = append(nextWorlds, restarted)
	}
	if allowed.heartbeats {
		informed := w
		other := w.nodes[1-i].state
		informed.nodes[i].state.observe(w.clock(i), Observation{Holder: other.holder, Revision: other.revision, Released: other.released})
		nextWorlds = append(nextWorlds, informed)
	}
	return nextWorlds
}

// shutdownSteps returns the worlds after a graceful shutdown of a node.
func (w modelWorld) shutdownSteps(i int, fault injectedFault, allowed disturbances) (nextWorlds []modelWorld) {
	node := w.nodes[i]
	if node.state.stopped || node.inFlight != nil || node.applied != nil {
		return nil
	}
	stopped := w
	mayRelease := node.state.mayRelease(w.clock(i)) || (fault.releasesEarly && node.state.token != 0 && node.state.holder == modelNames[i])
	stopped.nodes[i].state.stop()
	stopped.nodes[i].ready = false
	if mayRelease {
		stopped.nodes[i].inFlight = &modelWrite{replaces: node.state.revision, release: true, sent: w.now - node.clockLag}
		stopped = stopped.completeIfReliable(i, allowed)
	}
	return append(nextWorlds, stopped)
}

// call makes a node send a call if it may, and checks the guarantees of the package.
func (w modelWorld) call(i int, fault injectedFault) (called modelWorld, calls bool, violation string) {
	token, valid := w.nodes[i].state.validToken(w.clock(i))
	if fault.callsAfterWindow && token != 0 {
		valid = true
	}
	if !valid {
		return w, false, ""
	}
	switch {
	case token < w.token:
		return w, false, fmt.Sprintf("call with token %d after a call with token %d", token, w.token)
	case token == w.token && w.lastCaller != i:
		return w, false, fmt.Sprintf("both nodes sent token %d", token)
	case w.lastCaller == 1-i && time.Duration(w.now-w.calledAt[i])*modelTick < DefaultTakeoverGap:
		return w, false, "calls alternate within the takeover gap"
	// If clocks stop in a suspension, heldSince can't be compared with the times of the other
	// node's calls.
	case !fault.clockStops && w.calledAt[1-i] > -modelAge && w.timeAt(w.calledAt[1-i]).After(w.nodes[i].assumedHeldSince(w, fault)):
		return w, false, "the other node has called since this node's heldSince"
	}
	w.lastCaller, w.token = i, token
	w.calledAt[i] = w.now
	return w, true, ""
}

// assumedHeldSince returns the time since which a node assumes that no other node has held
// the lease.
func (n *modelNode) assumedHeldSince(world modelWorld, fault injectedFault) time.Time {
	if fault.ignoresOthers {
		return world.timeAt(-modelAge)
	}
	return n.state.heldSince
}
