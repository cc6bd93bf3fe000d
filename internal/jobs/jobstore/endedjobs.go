package jobstore

import (
	"context"
	"strings"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// EndedJob is the record of a job that has ended.
type EndedJob struct {
	ID       string
	Revision uint64
}

// EndedPage are the ended jobs of one page of the listing of all jobs.
type EndedPage struct {
	Jobs []EndedJob
	// Invalid is the number of records that can't be decoded.
	Invalid int
	// Next is the id after which the next page begins, empty after the last page.
	Next string
}

// ReadEnded reads the page of the listing that follows a job id, empty for the first page.
func (s *Store) ReadEnded(ctx context.Context, after string, freshness objectstore.Freshness) (EndedPage, error) {
	listed, err := s.store.List(ctx, KindJobs, after, freshness)
	if err != nil {
		return EndedPage{}, err
	}
	var page EndedPage
	for _, object := range listed.Objects {
		switch job, err := readStoredJob(object); {
		case err != nil:
			page.Invalid++
		case job.Ended:
			page.Jobs = append(page.Jobs, EndedJob{ID: job.ID, Revision: job.Revision})
		}
	}
	if listed.More && len(listed.Objects) > 0 {
		page.Next = listed.Objects[len(listed.Objects)-1].Name
	}
	return page, nil
}

// ObjectName names an object at a revision.
type ObjectName struct {
	Kind, Name string
	Revision   uint64
}

// ObjectsWithoutRecord lists the objects of a job besides its record: the chunks of its results and the
// parts of its payload.
func (s *Store) ObjectsWithoutRecord(ctx context.Context, id string) ([]ObjectName, error) {
	var objects []ObjectName
	for _, kind := range []struct {
		name   string
		digits int
	}{{KindResults, chunkDigits}, {KindPayloads, partDigits}} {
		// A listing starts after this name, which sorts before the names of the job's objects.
		for after := id + "-"; ; {
			page, err := s.store.List(ctx, kind.name, after, objectstore.Linearizable)
			if err != nil {
				return nil, err
			}
			passed := !page.More || len(page.Objects) == 0
			for _, object := range page.Objects {
				if !strings.HasPrefix(object.Name, id+"-") {
					passed = true
					break
				}
				if isNumberedName(id, object.Name, kind.digits) {
					objects = append(objects, ObjectName{Kind: kind.name, Name: object.Name, Revision: object.Revision})
				}
			}
			if passed {
				break
			}
			after = page.Objects[len(page.Objects)-1].Name
		}
	}
	return objects, nil
}
