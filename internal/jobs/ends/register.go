// Package ends remembers which batch jobs have ended.
//
// An end holds for a job's id, whatever copies of the job a node has or is about to have:
// kept with a copy, it would be lost when it comes before the copy does. Register owns the
// ids; it relies on nothing and has no lock, since a start must check it and insert the
// job in one step of its caller.
package ends

import (
	"maps"
	"slices"
	"time"
)

const (
	// announceTime is how long an end is repeated in this node's heartbeats.
	announceTime = 4 * time.Second
	// retention is how long an end is remembered: longer than a node tries to make an
	// acceptance certain, and than it takes to read a job that it takes over.
	retention = 90 * time.Second
)

// Register has the ends that a node knows, by job id.
type Register struct {
	byJob map[string]end
}

// end is the end of a batch job.
type end struct {
	learntAt time.Time
	// announced is set where this node is to announce the end to the others.
	announced bool
}

// NewRegister returns a register of no ends.
func NewRegister() *Register { return &Register{byJob: map[string]end{}} }

// Learn remembers an end that another node announces, or that the store has. It counts
// from when it is learnt first.
func (r *Register) Learn(job string, now time.Time) {
	if _, known := r.byJob[job]; !known {
		r.byJob[job] = end{learntAt: now}
	}
}

// Announce remembers an end that this node announces from now on.
func (r *Register) Announce(job string, now time.Time) {
	r.byJob[job] = end{learntAt: now, announced: true}
}

// Has tells whether a job is known to have ended.
func (r *Register) Has(job string) bool {
	_, known := r.byJob[job]
	return known
}

// Announced returns the ids of the ends to repeat in a heartbeat, in order.
func (r *Register) Announced(now time.Time) []string {
	var announced []string
	for _, job := range slices.Sorted(maps.Keys(r.byJob)) {
		if known := r.byJob[job]; known.announced && now.Sub(known.learntAt) <= announceTime {
			announced = append(announced, job)
		}
	}
	return announced
}

// Evict forgets old ends.
func (r *Register) Evict(now time.Time) {
	maps.DeleteFunc(r.byJob, func(_ string, known end) bool { return now.Sub(known.learntAt) > retention })
}

// Len is the number of ends.
func (r *Register) Len() int { return len(r.byJob) }
