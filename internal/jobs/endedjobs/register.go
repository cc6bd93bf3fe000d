// Package endedjobs records which batch jobs have ended.
//
// Ends are recorded by job id and not with the job, because a node may learn of an end before
// it has the job. Registry has no lock: the caller must check it and insert a starting job
// under one lock of its own.
package endedjobs

import (
	"maps"
	"slices"
	"time"
)

const (
	// announceTime is how long an end is repeated in this node's heartbeats.
	announceTime = 4 * time.Second
	// retention is how long an end is remembered. It must be longer than a node takes to
	// confirm an uncertain acceptance, and to read a job that it takes over.
	retention = 90 * time.Second
)

// Registry holds the known ends of jobs by job id. It is not safe for concurrent use.
type Registry struct {
	byJob map[string]end
}

// end is the end of a batch job.
type end struct {
	recordedAt time.Time
	// announced is set if this node announces the end to the other nodes.
	announced bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{byJob: map[string]end{}} }

// Learn records an end that another node announced or that was read from the store. The
// retention counts from the first call.
func (r *Registry) Learn(job string, now time.Time) {
	if _, known := r.byJob[job]; !known {
		r.byJob[job] = end{recordedAt: now}
	}
}

// Announce records an end that this node announces from now on.
func (r *Registry) Announce(job string, now time.Time) {
	r.byJob[job] = end{recordedAt: now, announced: true}
}

// Has reports whether a job is known to have ended.
func (r *Registry) Has(job string) bool {
	_, known := r.byJob[job]
	return known
}

// Announced returns the sorted ids of the ended jobs to announce in a heartbeat.
func (r *Registry) Announced(now time.Time) []string {
	var announced []string
	for _, job := range slices.Sorted(maps.Keys(r.byJob)) {
		if known := r.byJob[job]; known.announced && now.Sub(known.recordedAt) <= announceTime {
			announced = append(announced, job)
		}
	}
	return announced
}

// Evict removes the ends whose retention has expired.
func (r *Registry) Evict(now time.Time) {
	maps.DeleteFunc(r.byJob, func(_ string, known end) bool { return now.Sub(known.recordedAt) > retention })
}

// Len returns the number of ends.
func (r *Registry) Len() int { return len(r.byJob) }
