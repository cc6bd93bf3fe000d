package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// endRetryInterval is the time between attempts to store the end of a job.
const endRetryInterval = 100 * time.Millisecond

// Store stores batch jobs in the metadata store. It is safe for concurrent use after its
// setup.
type Store struct {
	store objectstore.Store
	// readByName reports whether chunks are read by name, without those of other jobs. It is
	// nil for never.
	readByName func() bool
}

// New returns a store of batch jobs in the given metadata store.
func New(store objectstore.Store) *Store { return &Store{store: store} }

// ReadByNameWhile makes Results read the chunks by name while the condition returns true.
// The pages of a listing include results of other jobs, which may not be allowed in this
// region. ReadByNameWhile must be called before the first read.
func (s *Store) ReadByNameWhile(condition func() bool) { s.readByName = condition }

// Read returns a batch job. It returns ErrNoSuchJob only if the job does not exist. After any
// other error it is unknown whether the job exists.
func (s *Store) Read(ctx context.Context, id string) (StoredJob, error) {
	object, err := s.store.Get(ctx, KindJobs, id, objectstore.Linearizable)
	if errors.Is(err, objectstore.ErrNotFound) {
		return StoredJob{}, ErrNoSuchJob
	}
	if err != nil {
		return StoredJob{}, err
	}
	return readStoredJob(object)
}

// TakeOver makes a process the owner of a batch job and increments its epoch. It fails if the
// record has changed since it was read.
func (s *Store) TakeOver(ctx context.Context, read StoredJob, owner Owner) (StoredJob, error) {
	next := read.Record
	next.Owner, next.Epoch = owner, read.Record.Epoch+1
	spec, err := json.Marshal(next)
	if err != nil {
		return StoredJob{}, err
	}
	object, err := s.store.Replace(ctx, KindJobs, read.ID, spec, read.Revision)
	if err != nil {
		return StoredJob{}, err
	}
	return readStoredJob(object)
}

// End stores that a batch job has ended, and returns the stored job. It retries until the
// store has confirmed the write or the context ends. The error is ErrNoSuchJob, an
// *EndUnknownError, or that of the last attempt if the store refused all of them.
func (s *Store) End(ctx context.Context, id string) (StoredJob, error) {
	spec, err := json.Marshal(status{Ended: true})
	if err != nil {
		return StoredJob{}, err
	}
	unanswered := false
	for {
		object, err := s.store.ReplaceStatus(ctx, KindJobs, id, spec, objectstore.Unconditional)
		if err == nil {
			return readStoredJob(object)
		}
		if errors.Is(err, objectstore.ErrNotFound) {
			return StoredJob{}, ErrNoSuchJob
		}
		var refused *objectstore.RefusedError
		unanswered = unanswered || !errors.As(err, &refused)
		if objectstore.SleepWithJitter(ctx, endRetryInterval) {
			continue
		}
		if unanswered {
			return StoredJob{}, &EndUnknownError{Cause: err}
		}
		return StoredJob{}, err
	}
}
