package test

import (
	"slices"
	"strings"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// endBound is within which nothing more of an ended job reaches a replica: the
// deployment's cancelMs.
const cancelBound = 3 * time.Second

// hiding is a time in which the report of an end may reach a node late, or a link may
// hold back what was sent to a replica before the end.
type disturbance struct {
	// replica is the one whose link is disturbed, empty for a node or the store.
	replica string
	from    time.Time
	// to is zero while it lasts.
	to time.Time
}

// hide records that a hiding begins and returns what ends it.
func (r *soakRecord) beginDisturbance(replica string) func() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	begun := &disturbance{replica: replica, from: time.Now()}
	r.disturbances = append(r.disturbances, begun)
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		begun.to = time.Now()
	}
}

// quietAfter is when the bound of an end has passed at a replica: it starts
// anew after each hiding that touches it. The mutex must be held.
func (r *soakRecord) cancelDeadline(endedAt time.Time, replica string) time.Time {
	bound := endedAt.Add(cancelBound)
	for _, disturbed := range r.disturbances {
		if disturbed.replica != "" && disturbed.replica != replica {
			continue
		}
		to := disturbed.to
		if to.IsZero() {
			to = time.Now()
		}
		if disturbed.from.Before(bound) && to.After(endedAt) && to.Add(cancelBound).After(bound) {
			bound = to.Add(cancelBound)
		}
	}
	return bound
}

// checkEnded judges the runs of a replica: no item and no reward call of a job
// comes later than the bound after its end was acknowledged.
func (r *soakRecord) checkEnded(name string, runs []replica.Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bounds := map[string]time.Time{}
	ends := map[string]time.Time{}
	slices.SortFunc(r.disturbances, func(a, b *disturbance) int { return a.from.Compare(b.from) })
	for _, job := range r.jobs {
		if !job.endedAt.IsZero() {
			ends[job.id], bounds[job.id] = job.endedAt, r.cancelDeadline(job.endedAt, name)
		}
	}
	for _, run := range runs {
		job := jobID(run.ID)
		if bound, isEnded := bounds[job]; isEnded && run.At.After(bound) {
			r.add("ENDED", "item %s reached %s at %s, its job's end was acknowledged at %s, the bound passed at %s",
				run.ID, name, formatTime(run.At), formatTime(ends[job]), formatTime(bound))
		}
	}
}

// ends counts the jobs whose end was acknowledged.
func (r *soakRecord) endedJobCount() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, job := range r.jobs {
		if !job.endedAt.IsZero() {
			count++
		}
	}
	return count
}

// jobOf is the job that an item or a reward call belongs to.
func jobID(id string) string {
	id = strings.TrimPrefix(id, "score.")
	if dot := strings.LastIndexByte(id, '.'); dot >= 0 {
		return id[:dot]
	}
	return id
}

// clockTime writes a time as logs of faults have it.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.Format("15:04:05.000")
}
