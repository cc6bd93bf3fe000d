package test

import (
	"slices"
	"strings"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// cancelBound is the time after the end of a job from which no item of it may reach a
// replica: the deployment's cancelMs.
const cancelBound = 3 * time.Second

// disturbance is a period in which nodes may learn of the end of a job late, or a link may
// delay requests that were sent to a replica before the end.
type disturbance struct {
	// replica is the replica whose link is disturbed, empty for a node or the store.
	replica string
	from    time.Time
	// to is zero until the disturbance ends.
	to time.Time
}

// beginDisturbance records the start of a disturbance and returns a function that records
// its end.
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

// cancelDeadline returns the time from which no item of an ended job may reach a replica.
// The bound restarts after each disturbance that overlaps it. The disturbances must be
// sorted by their start. r.mutex must be held.
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

// checkEnded checks that no item and no scorer call of a job reached a replica after the
// cancel deadline that follows the acknowledged end of the job.
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
			r.add("ENDED", "item %s reached %s at %s; the end of its job was acknowledged at %s and the cancel deadline was %s",
				run.ID, name, formatTime(run.At), formatTime(ends[job]), formatTime(bound))
		}
	}
}

// endedJobCount counts the jobs whose end was acknowledged.
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

// jobID returns the id of the job that an item or a scorer call belongs to.
func jobID(id string) string {
	id = strings.TrimPrefix(id, "score.")
	if dot := strings.LastIndexByte(id, '.'); dot >= 0 {
		return id[:dot]
	}
	return id
}

// formatTime formats a time as in the log of faults.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return at.Format("15:04:05.000")
}
