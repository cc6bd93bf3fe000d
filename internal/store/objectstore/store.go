package objectstore

import (
	"context"
	"encoding/json"
	"time"
)

// Freshness is how current a read has to be.
type Freshness bool

const (
	// Linearizable reads see every write acknowledged before them.
	Linearizable Freshness = false
	// MayBeStale reads are cheap and may be seconds old.
	MayBeStale Freshness = true
)

// Unconditional as a revision writes whatever the object's revision is.
const Unconditional uint64 = 0

// Store is the metadata store. Every method returns ErrNotFound, a
// *ConflictError, a *RefusedError, ErrHistoryGone or an *UnansweredError.
type Store interface {
	// List returns the objects of a kind whose names come after a name.
	List(ctx context.Context, kind, after string, freshness Freshness) (Page, error)
	Get(ctx context.Context, kind, name string, freshness Freshness) (Object, error)
	// Watch waits for changes of a kind after a revision.
	Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (Changes, error)
	// Create makes an object that must not exist yet.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error)
	// Replace writes the spec of an object that is still at a revision.
	Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (Object, error)
	// ReplaceStatus writes the status of an object that is still at a revision.
	ReplaceStatus(ctx context.Context, kind, name string, status json.RawMessage, revision uint64) (Object, error)
}
