package objectstore

import (
	"context"
	"encoding/json"
	"time"
)

// Unconditional, as the revision of a write, writes whatever the object's revision is.
const Unconditional uint64 = 0

// Store is the metadata store. Each method returns ErrNotFound, a *ConflictError, a
// *RefusedError, ErrHistoryGone or an *UnansweredError if it fails.
type Store interface {
	// List returns a page of the objects of a kind, beginning after a name.
	List(ctx context.Context, kind, after string, freshness Freshness) (Page, error)
	// Get returns an object.
	Get(ctx context.Context, kind, name string, freshness Freshness) (Object, error)
	// Watch waits, at most for a time, for changes of a kind after a revision.
	Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (Changes, error)
	// Create creates an object that must not exist yet.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error)
	// Replace replaces the spec of an object that is still at a revision.
	Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (Object, error)
	// ReplaceStatus replaces the status of an object that is still at a revision.
	ReplaceStatus(ctx context.Context, kind, name string, status json.RawMessage, revision uint64) (Object, error)
}
