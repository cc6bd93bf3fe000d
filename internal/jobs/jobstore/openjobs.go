package jobstore

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// OpenJobs are the open jobs among some of the stored ones.
type OpenJobs struct {
	Jobs []StoredJob
	// Ended is the number of jobs that have ended, Invalid the names of the records that can't be
	// decoded.
	Ended   int
	Invalid []string
}

// add adds a stored job if it is open.
func (o *OpenJobs) add(object objectstore.Object) {
	ended, err := readEnded(object)
	if err == nil && ended {
		o.Ended++
		return
	}
	job, err := readStoredJob(object)
	if err != nil {
		o.Invalid = append(o.Invalid, object.Name)
		return
	}
	o.Jobs = append(o.Jobs, job)
}

// OpenPage are the open jobs of one page of the listing of all jobs.
type OpenPage struct {
	OpenJobs
	// Next is the id after which the next page begins, empty after the last page.
	Next string
	// Revision is the revision of the store at which the page was read.
	Revision uint64
}

// ReadOpen reads the page of the listing that follows a job id, empty for the first page.
func (s *Store) ReadOpen(ctx context.Context, after string, freshness objectstore.Freshness) (OpenPage, error) {
	listed, err := s.store.List(ctx, KindJobs, after, freshness)
	if err != nil {
		return OpenPage{}, err
	}
	page := OpenPage{Revision: listed.Revision}
	for _, object := range listed.Objects {
		page.add(object)
	}
	if listed.More && len(listed.Objects) > 0 {
		page.Next = listed.Objects[len(listed.Objects)-1].Name
	}
	return page, nil
}

const (
	// recentRevisions is the number of revisions before a listing in which open jobs are looked for
	// first. A job of some dozen items is some twenty revisions.
	recentRevisions = 1 << 14
	// minRecentRevisions is the smallest such number that is tried if the store has forgotten more.
	minRecentRevisions = 1 << 10
	// recentWait is how long the store waits for a change if there is none.
	recentWait = time.Millisecond
)

// ReadRecent returns the jobs that were changed last before a revision and are still open. It costs a
// few calls, however many jobs there are. The error is objectstore.ErrHistoryGone if the store has
// forgotten these changes.
func (s *Store) ReadRecent(ctx context.Context, revision uint64) (OpenJobs, error) {
	var err error
	for distance := uint64(recentRevisions); distance >= minRecentRevisions; distance /= 2 {
		from := uint64(1)
		if revision > distance {
			from = revision - distance
		}
		var latest map[string]objectstore.Object
		if latest, err = s.changesAfter(ctx, from, revision); err == nil {
			var recent OpenJobs
			for _, object := range latest {
				recent.add(object)
			}
			return recent, nil
		}
		if !errors.Is(err, objectstore.ErrHistoryGone) {
			return OpenJobs{}, err
		}
	}
	return OpenJobs{}, err
}

// changesAfter returns the objects of jobs that changed after a revision, up to another one, as they
// were at their last change.
func (s *Store) changesAfter(ctx context.Context, from, until uint64) (map[string]objectstore.Object, error) {
	latest := map[string]objectstore.Object{}
	for from < until {
		changes, err := s.store.Watch(ctx, KindJobs, from, recentWait)
		if err != nil {
			return nil, err
		}
		for _, change := range changes.Events {
			if change.Deleted {
				delete(latest, change.Object.Name)
			} else {
				latest[change.Object.Name] = change.Object
			}
		}
		if len(changes.Events) == 0 || changes.Revision <= from {
			break
		}
		from = changes.Revision
	}
	return latest, nil
}
