package peering

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// joinRetryInterval is about how long a node waits between two attempts to join.
	joinRetryInterval = 500 * time.Millisecond
	// newNodeDelay is how long a new node waits before it learns of the others, so that the
	// nodes of a deployment that start together have written their entries.
	newNodeDelay = 400 * time.Millisecond
	// newSeedDelay is the same for a new seed, whose list other nodes take over.
	newSeedDelay = 700 * time.Millisecond
)

// Join writes this node's entry and learns of the others. It returns when both is done or
// the context ends. Later entries come through the table's sink. While the store is
// unavailable, it greets the seeds.
func (t *Table) Join(ctx context.Context) {
	for ctx.Err() == nil {
		joined := t.tryJoin(ctx)
		t.mutex.Lock()
		t.joined, t.joinAttempted = joined, true
		t.mutex.Unlock()
		if joined {
			return
		}
		objectstore.Pause(ctx, joinRetryInterval)
		t.greetSeeds(ctx)
	}
}

// tryJoin writes this node's entry and learns of the others from a seed, or from the store
// if this node is a seed or none answers, and reports whether it has done both. In a large
// deployment the store could not serve a listing to every starting node.
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
		if !objectstore.Sleep(ctx, t.joinDelay()) {
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

// joinDelay returns how long this node, if it is new, waits before it learns of the others.
func (t *Table) joinDelay() time.Duration {
	if t.isSeed() {
		return newSeedDelay
	}
	return newNodeDelay
}

// IsNew reports whether the deployment did not know this node when it joined.
func (t *Table) IsNew() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.isNew
}

// Joined reports whether this node's entry is written and the other nodes are known.
func (t *Table) Joined() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.joined
}

// JoinAttempted reports whether this node has joined or has at least once failed to. After
// a failure it knows only the nodes that it has greeted.
func (t *Table) JoinAttempted() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.joined || t.joinAttempted
}
