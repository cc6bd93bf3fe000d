package peering

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// Kind is the kind of the nodes' entries in the metadata store.
	Kind = "nodes"
	// greetTime bounds a greeting.
	greetTime = 800 * time.Millisecond
	// wholeList is up to how many nodes a greeting is answered with all of them, and
	// beyond that with those of the greeting node's zone: the others come with the
	// copies of the store, and an answer stays some kilobytes long.
	wholeList = 256
	// joinPause is the time between tries to write and read the entries.
	joinPause = 500 * time.Millisecond
	// greetRounds is how often a seed that has not answered is greeted, and
	// greetPause the time between.
	greetRounds = 4
	greetPause  = time.Second
	// settleTime is how long a node that is new waits before it reads the entries
	// of the others: the machines of a deployment start within 0.3 s of each
	// other, and what is missed then costs a watch event each.
	settleTime = 400 * time.Millisecond
)

// Join writes this node's entry and learns of the others, until the context ends or both
// is done. Later entries come through the table's sink. While the store is away, the
// seeds are greeted.
func (t *Table) Join(ctx context.Context) {
	for ctx.Err() == nil {
		joined := t.tryJoin(ctx)
		t.mutex.Lock()
		t.joined, t.tried = joined, true
		t.mutex.Unlock()
		if joined {
			return
		}
		objectstore.Pause(ctx, joinPause)
		t.greetSeeds(ctx)
	}
}

// tryJoin tells whether this node's entry is written and the others' are known: from a
// seed, or from the store where this node is one or none answers. Read by every node,
// the entries of all are what a store that serves a thousand nodes spends a start on.
func (t *Table) tryJoin(ctx context.Context) bool {
	isNew, err := t.register(ctx)
	if err != nil {
		t.config.Logger.V(1).Info("node entry not written", "error", err.Error())
		return false
	}
	if isNew {
		t.mutex.Lock()
		t.isNew = true
		t.mutex.Unlock()
		if !objectstore.Sleep(ctx, t.settleTime()) {
			return false
		}
	}
	if t.learnFromSeeds(ctx) {
		return true
	}
	if err := t.readEntries(ctx); err != nil {
		t.config.Logger.V(1).Info("node entries not read", "error", err.Error())
		return false
	}
	return true
}

// settleTime is how long this node, if it is new, waits before it learns of the others.
func (t *Table) settleTime() time.Duration {
	if t.isSeed() {
		return seedSettleTime
	}
	return settleTime
}

// greetSeeds greets the seeds, which know others, until the store is read.
func (t *Table) greetSeeds(ctx context.Context) {
	for _, seed := range t.knownSeeds() {
		if seed != t.config.Address {
			t.greet(ctx, seed, 0)
		}
	}
}

// greet tells a node of this one and learns whom it knows.
func (t *Table) greet(ctx context.Context, address string, round int) {
	t.config.Peers.Call(address, t.newHeartbeat(), greetTime, func(reply wire.Message, err error) {
		if ctx.Err() != nil {
			return
		}
		if heartbeat, ok := reply.(*wire.NodeBeat); ok && err == nil {
			t.Receive(ctx, heartbeat)
			return
		}
		if round+1 < greetRounds && !t.Joined() {
			time.AfterFunc(greetPause, func() { t.greet(ctx, address, round+1) })
		}
	})
}

// AnswerGreeting answers another node's greeting with a heartbeat that lists all known
// peers, or only those in the greeting node's zone if there are more than wholeList.
func (t *Table) AnswerGreeting(ctx context.Context, heartbeat *wire.NodeBeat) *wire.NodeBeat {
	t.Receive(ctx, heartbeat)
	answer := t.newHeartbeat()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	answer.PeersKnown = t.joined
	all := len(t.peers) <= wholeList
	for _, peer := range t.peers {
		if all || peer.Zone == heartbeat.Zone {
			answer.Peers = append(answer.Peers, peer.address())
		}
	}
	return answer
}

// register writes this node's entry and tells whether there was none. The entry
// of a node that was started anew is replaced, so that its peers learn of the
// new process.
func (t *Table) register(ctx context.Context) (isNew bool, err error) {
	spec, err := json.Marshal(entry{Address: t.config.Address, Zone: t.config.Zone, Incarnation: t.config.Incarnation, Capacity: t.config.Capacity})
	if err != nil {
		return false, &EntryError{Node: t.config.Node, Cause: err}
	}
	_, err = t.config.Store.Create(ctx, Kind, t.config.Node, spec)
	var conflict *objectstore.ConflictError
	if !errors.As(err, &conflict) {
		return err == nil, err
	}
	standing, err := decodeEntry(conflict.Current)
	if err != nil {
		t.config.Logger.Error(err, "own node entry is replaced")
	} else if standing.Address == t.config.Address && standing.Incarnation == t.config.Incarnation {
		return false, nil
	}
	_, err = t.config.Store.Replace(ctx, Kind, t.config.Node, spec, objectstore.Unconditional)
	return false, err
}

// readEntries reads the entries of all nodes.
func (t *Table) readEntries(ctx context.Context) error {
	after := ""
	for {
		page, err := t.config.Store.List(ctx, Kind, after, objectstore.Linearizable)
		if err != nil {
			return err
		}
		t.Replace(page.Objects, false)
		if !page.More || len(page.Objects) == 0 {
			return nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}
