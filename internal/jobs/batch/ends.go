package batch

import (
	"maps"
	"slices"
	"time"
)

const (
	// endMemory is for how long an end is told in heartbeats.
	endMemory = 4 * time.Second
	// endRetention is for how long a node remembers an end: longer than it tries to
	// make an acceptance certain, and than it takes to read a job that it takes over.
	endRetention = 90 * time.Second
)

// endRegister remembers which batch jobs have ended. An end holds for a job's id,
// whatever copies of the job a node has or is about to have: kept with a copy, it is
// lost when it comes before the copy does.
type endRegister struct {
	learnt map[string]knownEnd
}

// knownEnd is a batch job's end that this node has learnt of.
type knownEnd struct {
	at time.Time
	// here is set where a caller ended the job at this node, which tells the others.
	here bool
}

func newEndRegister() endRegister { return endRegister{learnt: map[string]knownEnd{}} }

// learn remembers an end.
func (r endRegister) learn(id string) {
	if _, known := r.learnt[id]; !known {
		r.learnt[id] = knownEnd{at: time.Now()}
	}
}

// learnHere remembers an end that this node is to tell the others of.
func (r endRegister) learnHere(id string) {
	r.learnt[id] = knownEnd{at: time.Now(), here: true}
}

// has tells whether a batch job is known to have ended.
func (r endRegister) has(id string) bool {
	_, known := r.learnt[id]
	return known
}

// toTell names the ends that heartbeats tell, in order.
func (r endRegister) toTell() []string {
	var told []string
	for _, id := range slices.Sorted(maps.Keys(r.learnt)) {
		if end := r.learnt[id]; end.here && time.Since(end.at) <= endMemory {
			told = append(told, id)
		}
	}
	return told
}

// evict forgets ends of long ago.
func (r endRegister) evict() {
	maps.DeleteFunc(r.learnt, func(_ string, end knownEnd) bool { return time.Since(end.at) > endRetention })
}
