package cleanup

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

// maxTracked bounds the ended jobs that are kept in memory. Those beyond it are seen again in a later
// pass.
const maxTracked = 20_000

// endedJob is an ended job that waits for its deletion.
type endedJob struct {
	revision uint64
	// since is when the job was first seen ended at its revision, pass the last pass that saw it.
	since time.Time
	pass  int
}

// tracker keeps when ended jobs were first seen. It does no I/O and reads no clock. It is not safe for
// concurrent use.
type tracker struct {
	retention time.Duration
	jobs      map[string]*endedJob
	pass      int
}

func newTracker(retention time.Duration) *tracker {
	return &tracker{retention: retention, jobs: map[string]*endedJob{}}
}

// observe records an ended job of a listing. A listing may be stale: an earlier revision is ignored.
func (t *tracker) observe(job jobstore.EndedJob, now time.Time) {
	known := t.jobs[job.ID]
	switch {
	case known == nil && len(t.jobs) >= maxTracked:
	case known == nil || job.Revision > known.revision:
		t.jobs[job.ID] = &endedJob{revision: job.Revision, since: now, pass: t.pass}
	default:
		known.pass = t.pass
	}
}

// isFull reports whether no further job can be recorded.
func (t *tracker) isFull() bool { return len(t.jobs) >= maxTracked }

// endPass ends a listing of all jobs, and drops those that it did not contain.
func (t *tracker) endPass() {
	maps.DeleteFunc(t.jobs, func(_ string, job *endedJob) bool { return job.pass != t.pass })
	t.pass++
}

// due returns the jobs whose retention is over, at most limit, those that ended first first.
func (t *tracker) due(now time.Time, limit int) []jobstore.EndedJob {
	var ids []string
	for id, job := range t.jobs {
		if now.Sub(job.since) >= t.retention {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(t.jobs[a].since.Compare(t.jobs[b].since), cmp.Compare(a, b))
	})
	var due []jobstore.EndedJob
	for _, id := range ids[:min(limit, len(ids))] {
		due = append(due, jobstore.EndedJob{ID: id, Revision: t.jobs[id].revision})
	}
	return due
}

// drop removes a job that has been deleted, or has changed.
func (t *tracker) drop(id string) { delete(t.jobs, id) }
