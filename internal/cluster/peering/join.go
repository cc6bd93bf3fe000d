package peering

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// joinRetryInterval is the mean time between two attempts to join.
	joinRetryInterval = 500 * time.Millisecond
	// newNodeDelay is how long a new node waits before it learns of the others, so that
	// nodes that start together with it have written their entries.
	newNodeDelay = 400 * time.Millisecond
	// newSeedDelay is the same for a new seed, from which other nodes get their list.
	newSeedDelay = 700 * time.Millisecond
)

// Join writes this node's entry and learns of the other nodes. It returns when both are
// done or the context ends. Later entries arrive through the table's sink. Join
// retries after each failure, and meanwhile sends join requests to the seeds.
func (t *Table) Join(ctx context.Context) {
	for ctx.Err() == nil {
		joined := t.tryJoin(ctx)
		t.mutex.Lock()
		t.joined, t.joinAttempted = joined, true
		t.mutex.Unlock()
		if joined {
			return
		}
		objectstore.SleepWithJitter(ctx, joinRetryInterval)
		t.sendJoinRequests(ctx)
	}
}

// tryJoin writes this node's entry and learns of the other nodes from a seed, or from the
// store if this node is a seed or no seed replies. It reports whether both succeeded. In a
// large deployment the store could not serve a listing to every starting node.
func (t *Table) tryJoin(ctx context.Context) bool {
	isNew, err := t.register(ctx)
	if err != nil {
		t.config.Logger.V(1).Info("failed to write the node entry", "error", err.Error())
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
		t.config.Logger.V(1).Info("failed to read the node entries", "error", err.Error())
		return false
	}
	return true
}

// joinDelay returns how long a new node waits before it learns of the others.
func (t *Table) joinDelay() time.Duration {
	if t.isSeed() {
		return newSeedDelay
	}
	return newNodeDelay
}

// IsNew reports whether this node had no entry in the store when it joined.
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

// JoinAttempted reports whether this node has joined or has failed to at least once. After
// a failure it only knows the nodes in the replies to its join requests.
func (t *Table) JoinAttempted() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.joined || t.joinAttempted
}
