package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// endRetryPause is the time between attempts to store an end.
const endRetryPause = 100 * time.Millisecond

// Store keeps batch jobs in the metadata store. It is safe for use by many
// goroutines once it is set up.
type Store struct {
	store objectstore.Store
	// readApart tells whether a job's results are to be read without those of other
	// jobs; nil for never.
	readApart func() bool
}

// New returns a store of batch jobs over the metadata store.
func New(store objectstore.Store) *Store { return &Store{store: store} }

// ReadApart makes Results read chunk by chunk while a condition holds: the pages of a
// listing hold results of other jobs too, which may be bound to other regions. It is to
// be called before the first read.
func (s *Store) ReadApart(condition func() bool) { s.readApart = condition }

// Read returns a batch job's record. ErrNoSuchJob is certain; any other error leaves
// open whether the job exists.
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

// ReadAll returns the records of all batch jobs that can be decoded.
func (s *Store) ReadAll(ctx context.Context, freshness objectstore.Freshness) ([]StoredJob, error) {
	var all []StoredJob
	after := ""
	for {
		page, err := s.store.List(ctx, KindJobs, after, freshness)
		if err != nil {
			return nil, err
		}
		for _, object := range page.Objects {
			if job, err := readStoredJob(object); err == nil {
				all = append(all, job)
			}
		}
		if !page.More || len(page.Objects) == 0 {
			return all, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

// TakeOver makes a process the owner of a batch job whose record is still as read, and
// returns the job with its next epoch. It fails if the record has changed.
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

// End stores that a batch job has ended. It repeats the write until the store has
// answered or the context ends, and returns the job as the store has it then.
func (s *Store) End(ctx context.Context, id string) (StoredJob, error) {
	spec, err := json.Marshal(status{Ended: true})
	if err != nil {
		return StoredJob{}, err
	}
	for {
		object, err := s.store.ReplaceStatus(ctx, KindJobs, id, spec, objectstore.Unconditional)
		if err == nil {
			return readStoredJob(object)
		}
		if errors.Is(err, objectstore.ErrNotFound) {
			return StoredJob{}, ErrNoSuchJob
		}
		if !objectstore.SleepWithJitter(ctx, endRetryPause) {
			return StoredJob{}, err
		}
	}
}
