package statistics

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// openJobTimeout is how long the jobs that another node announces are valid. Owners send
// heartbeats every 300 ms, so that one that is alive is not forgotten because some are lost.
const openJobTimeout = 1500 * time.Millisecond

// OpenJobs holds the open jobs of other nodes, as their last heartbeats describe them.
type OpenJobs struct {
	byNode map[string]announcedJobs
}

type announcedJobs struct {
	works      []wire.JobWork
	receivedAt time.Time
}

// OpenJob is an open job of another node.
type OpenJob struct {
	wire.JobWork
	// TimeLeft is the time until the job is due.
	TimeLeft time.Duration
}

// NewOpenJobs returns an OpenJobs without jobs.
func NewOpenJobs() *OpenJobs { return &OpenJobs{byNode: map[string]announcedJobs{}} }

// Learn records the jobs in a heartbeat of another node, which replace those in its last one.
func (o *OpenJobs) Learn(node string, works []wire.JobWork, now time.Time) {
	if len(works) == 0 {
		delete(o.byNode, node)
		return
	}
	o.byNode[node] = announcedJobs{works: works, receivedAt: now}
}

// Current returns the jobs with a deadline in the heartbeats of the last openJobTimeout.
func (o *OpenJobs) Current(now time.Time) []OpenJob {
	var current []OpenJob
	for _, announced := range o.byNode {
		if !announced.isCurrent(now) {
			continue
		}
		age := now.Sub(announced.receivedAt)
		for _, work := range announced.works {
			if work.LeftMs != 0 {
				current = append(current, OpenJob{JobWork: work, TimeLeft: time.Duration(work.LeftMs)*time.Millisecond - age})
			}
		}
	}
	return current
}

// Waiting returns the number of items that wait for a replica, by model, of all jobs in the
// heartbeats of the last openJobTimeout, with a deadline or without.
func (o *OpenJobs) Waiting(now time.Time) map[string]int {
	waiting := map[string]int{}
	for _, announced := range o.byNode {
		if !announced.isCurrent(now) {
			continue
		}
		for _, work := range announced.works {
			if work.Waiting > 0 {
				waiting[work.Model] += int(work.Waiting)
			}
		}
	}
	return waiting
}

// isCurrent reports whether the jobs are still valid.
func (a announcedJobs) isCurrent(now time.Time) bool {
	return now.Sub(a.receivedAt) < openJobTimeout
}

// Evict removes the jobs that are no longer valid.
func (o *OpenJobs) Evict(now time.Time) {
	maps.DeleteFunc(o.byNode, func(_ string, announced announcedJobs) bool { return !announced.isCurrent(now) })
}
