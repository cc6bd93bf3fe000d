package lease

import "time"

// modelWrite is a write on condition, on its way or done.
type modelWrite struct {
	replaces uint64
	release  bool
	// sent is when its node sent it, in ticks.
	sent int
}

// modelNode is a node in the model.
type modelNode struct {
	state state
	// ready is set once the lease has been found free to be written, to replace a
	// revision.
	ready    bool
	replaces uint64
	// inFlight is a write that has not been done, and done one that has been and
	// whose answer is under way, with its revision.
	inFlight *modelWrite
	done     *modelWrite
	revision uint64
	// behind is by how many ticks the node's clock is behind: those in which its machine
	// was suspended, where the clock stands still meanwhile.
	behind int
}

// modelWorld is one state of the whole. It is copied and never changed.
type modelWorld struct {
	now      int
	nodes    [2]modelNode
	revision uint64
	holder   int
	released bool
	// late are writes whose senders have given up on them, by node.
	late [2]*modelWrite
	// acted is when each node last sent a call, and last who did so last, with
	// its token.
	acted [2]int
	last  int
	token uint64
}

var modelNames = [2]string{"a", "b"}

func (w modelWorld) at(tick int) time.Time {
	return time.Unix(0, 0).Add(time.Duration(tick) * modelTick)
}

// clock is the instant of now as a node reads it.
func (w modelWorld) clock(node int) time.Time { return w.at(w.now - w.nodes[node].behind) }

func firstWorld() modelWorld {
	world := modelWorld{holder: -1, last: -1, acted: [2]int{-modelAge, -modelAge}}
	for i := range world.nodes {
		world.nodes[i].state = state{node: modelNames[i], term: DefaultTerm}
	}
	return world
}

// apply carries out a write at the store and returns its revision, 0 where its
// condition does not hold.
func (w *modelWorld) apply(node int, write *modelWrite) uint64 {
	if write.replaces != w.revision {
		return 0
	}
	w.revision++
	w.holder, w.released = node, write.release
	return w.revision
}

// stored is the lease as the store has it.
func (w *modelWorld) stored() Observation {
	return Observation{Holder: w.holderName(), Revision: w.revision, Released: w.released}
}

// holderName is who the store names.
func (w *modelWorld) holderName() string {
	if w.holder < 0 {
		return ""
	}
	return modelNames[w.holder]
}
