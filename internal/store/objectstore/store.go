package objectstore

import (
	"context"
	"encoding/json"
	"time"
)

// Unconditional, as the revision of a write, makes it apply at any revision of the object.
const Unconditional uint64 = 0

// Store is the metadata store. Its methods fail with ErrNotFound, ErrHistoryGone, a
// *ConflictError, a *RefusedError or an *UnansweredError.
type Store interface {
	// List returns a page of the objects of a kind whose names follow the given one.
	List(ctx context.Context, kind, after string, freshness Freshness) (Page, error)
	// Get returns an object.
	Get(ctx context.Context, kind, name string, freshness Freshness) (Object, error)
	// Watch returns the changes of a kind after a revision. It waits for them at most for
	// the given time.
	Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (Changes, error)
	// Create creates an object that must not exist yet.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error)
	// Replace replaces the spec of an object if the object is still at the given revision.
	Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (Object, error)
	// ReplaceStatus replaces the status of an object if the object is still at the given
	// revision.
	ReplaceStatus(ctx context.Context, kind, name string, status json.RawMessage, revision uint64) (Object, error)
	// Delete deletes an object if the object is still at the given revision.
	Delete(ctx context.Context, kind, name string, revision uint64) error
}
