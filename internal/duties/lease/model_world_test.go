package lease

import "time"

// modelWrite is a conditional write, in flight or applied.
type modelWrite struct {
	replaces uint64
	release  bool
	// sent is the time when its node sent it, in ticks of the node's clock.
	sent int
}

// modelNode is a node in the model.
type modelNode struct {
	state state
	// ready is set when the node has decided to write the lease, to replace the revision
	// replaces.
	ready    bool
	replaces uint64
	// inFlight is a write that has not been applied. applied is a write that has been
	// applied as appliedRevision, but whose result is still in flight.
	inFlight        *modelWrite
	applied         *modelWrite
	appliedRevision uint64
	// clockLag is the number of ticks by which the node's clock is behind, because it
	// stopped while the machine was suspended.
	clockLag int
}

// modelWorld is one state of the whole system. Steps change a copy of it.
type modelWorld struct {
	now      int
	nodes    [2]modelNode
	revision uint64
	holder   int
	released bool
	// lateWrites are the writes whose senders have timed out, by node.
	lateWrites [2]*modelWrite
	// calledAt is the time of each node's last call. lastCaller is the node that called
	// last, -1 if there was no call, and token the token of that call.
	calledAt   [2]int
	lastCaller int
	token      uint64
}

var modelNames = [2]string{"a", "b"}

func (w modelWorld) timeAt(tick int) time.Time {
	return time.Unix(0, 0).Add(time.Duration(tick) * modelTick)
}

// clock returns the current time by a node's clock.
func (w modelWorld) clock(node int) time.Time { return w.timeAt(w.now - w.nodes[node].clockLag) }

func firstWorld() modelWorld {
	world := modelWorld{holder: -1, lastCaller: -1, calledAt: [2]int{-modelAge, -modelAge}}
	for i := range world.nodes {
		world.nodes[i].state = state{node: modelNames[i], takeoverGap: DefaultTakeoverGap}
	}
	return world
}

// apply applies a write at the store and returns its revision, 0 if its condition fails.
func (w *modelWorld) apply(node int, write *modelWrite) uint64 {
	if write.replaces != w.revision {
		return 0
	}
	w.revision++
	w.holder, w.released = node, write.release
	return w.revision
}

// stored returns the stored lease.
func (w *modelWorld) stored() Observation {
	return Observation{Holder: w.holderName(), Revision: w.revision, Released: w.released}
}

// holderName returns the holder of the stored lease, "" if there is none.
func (w *modelWorld) holderName() string {
	if w.holder < 0 {
		return ""
	}
	return modelNames[w.holder]
}
