package duty

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

// The model check goes through what may happen to two nodes that contend for the
// lease: calls to the store whose answers are lost or late, writes that are done
// seconds later, nodes that stand still, are started anew or stop as planned, and
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

// holderName is who the store names.
func (w *modelWorld) holderName() string {
	if w.holder < 0 {
		return ""
	}
	return modelNames[w.holder]
}

// next lists the worlds that may follow, and what is wrong with a call.
func (w modelWorld) next(fault planted, allowed disruption) (following []modelWorld, wrong string) {
	following = append(following, w.later())
	for i := range w.nodes {
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
	now := w.at(w.now)
	wait := node.state.wait(now)
	if fault.noWait {
		wait = 0
	}
	if node.inFlight == nil && node.done == nil && !node.ready && !node.state.stopped && wait == 0 {
		read := w
		if node.state.mustRead() {
			read.nodes[i].state.wasRead(now, w.holderName(), w.revision, w.released)
		}
		if read.nodes[i].state.wait(now) == 0 || fault.noWait {
			read.nodes[i].ready, read.nodes[i].replaces = true, read.nodes[i].state.revision
		}
		following = append(following, read)
	}
	if node.ready {
		sent := w
		replaces := node.replaces
		if fault.newest {
			replaces = node.state.revision
		}
		sent.nodes[i].ready, sent.nodes[i].inFlight = false, &modelWrite{replaces: replaces, sent: w.now}
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
			lost.nodes[i].state.unanswered()
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
		node.state.observe(w.at(w.now), modelNames[i], node.revision, true)
	} else {
		node.state.wrote(w.at(node.done.sent), node.revision)
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
		carried.nodes[i].state.conflicted(w.at(w.now), w.holderName(), w.revision, w.released)
	}
	if !allowed.lost {
		return []modelWorld{carried}
	}
	givenUp := w
	givenUp.nodes[i].inFlight, givenUp.late[i] = nil, write
	givenUp.nodes[i].state.unanswered()
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
		told.nodes[i].state.observe(w.at(w.now), other.holder, other.revision, other.released)
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
	mayRelease := node.state.mayRelease(w.at(w.now)) || (fault.early && node.state.token != 0 && node.state.holder == modelNames[i])
	stopped.nodes[i].state.stop()
	stopped.nodes[i].ready = false
	if mayRelease {
		stopped.nodes[i].inFlight = &modelWrite{replaces: node.state.revision, release: true, sent: w.now}
		stopped = stopped.unlessLost(i, allowed)
	}
	return append(following, stopped)
}

// call has a node send a call, if it may, and judges it as receivers do.
func (w modelWorld) call(i int, fault planted) (called modelWorld, calls bool, wrong string) {
	token, valid := w.nodes[i].state.valid(w.at(w.now))
	if fault.beyond && token != 0 {
		valid = true
	}
	if !valid {
		return w, false, ""
	}
	switch {
	case token < w.token:
		return w, false, fmt.Sprintf("token %d after %d", token, w.token)
	case token == w.token && w.last != i:
		return w, false, fmt.Sprintf("both sent token %d", token)
	case w.last == 1-i && time.Duration(w.now-w.acted[i])*modelTick < DefaultTerm:
		return w, false, "calls in turns within the term"
	}
	w.last, w.token = i, token
	w.acted[i] = w.now
	return w, true, ""
}

// key names a world but for what makes no difference: how late it is, the
// numbers of revisions, and how long ago what is long ago was.
func (w modelWorld) key() string {
	revisions := []uint64{0, w.revision, w.token}
	for i := range w.nodes {
		node := w.nodes[i]
		revisions = append(revisions, node.state.revision, node.state.token)
		if node.ready {
			revisions = append(revisions, node.replaces)
		}
		if node.done != nil {
			revisions = append(revisions, node.revision)
		}
		for _, write := range []*modelWrite{node.inFlight, node.done, w.late[i]} {
			if write != nil {
				revisions = append(revisions, write.replaces)
			}
		}
	}
	slices.Sort(revisions)
	revisions = slices.Compact(revisions)
	rank := func(revision uint64) int { return slices.Index(revisions, revision) }
	age := func(tick int) int { return min(modelAge, w.now-tick) }
	instant := func(at time.Time) int {
		if at.IsZero() {
			return modelAge
		}
		return max(-modelAge, min(modelAge, w.now-int(at.Sub(w.at(0))/modelTick)))
	}
	var text []byte
	number := func(values ...int) {
		for _, value := range values {
			text = append(strconv.AppendInt(text, int64(value), 10), ' ')
		}
	}
	flags := func(values ...bool) {
		for _, value := range values {
			text = append(strconv.AppendBool(text, value), ' ')
		}
	}
	write := func(write *modelWrite) {
		if write != nil {
			number(rank(write.replaces), age(write.sent))
			flags(write.release)
		}
		text = append(text, '|')
	}
	number(rank(w.revision), w.holder, w.last, rank(w.token), age(w.acted[0]), age(w.acted[1]))
	flags(w.released)
	for i := range w.nodes {
		node := w.nodes[i]
		number(rank(node.state.revision), instant(node.state.seen), rank(node.state.token))
		if node.state.token != 0 {
			number(instant(node.state.until), instant(node.state.since))
		}
		if node.ready {
			number(rank(node.replaces))
		}
		if node.done != nil {
			number(rank(node.revision))
		}
		flags(node.state.released, node.state.unsure, node.state.stopped, node.ready)
		text = append(text, node.state.holder...)
		write(node.inFlight)
		write(node.done)
		write(w.late[i])
	}
	return string(text)
}

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
