package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// held is a request in quarantine.
type held struct {
	// until is when the quarantine ends, by this node's steady clock.
	until time.Time
	// stored is set once the store has listed it, so that its absence from a later
	// listing means that it was lifted.
	stored bool
}

// Table is a node's copy of the requests in quarantine. Readers take no lock; each change
// publishes another map.
type Table struct {
	mutex   sync.Mutex
	current atomic.Pointer[map[Fingerprint]held]
}

// NewTable returns an empty table.
func NewTable() *Table {
	table := &Table{}
	table.current.Store(&map[Fingerprint]held{})
	return table
}

// IsEmpty returns whether the table holds no request.
func (t *Table) IsEmpty() bool { return len(*t.current.Load()) == 0 }

// Len returns the number of requests in quarantine at a time.
func (t *Table) Len(now time.Time) int {
	count := 0
	for _, entry := range *t.current.Load() {
		if now.Before(entry.until) {
			count++
		}
	}
	return count
}

// TimeLeft returns the time until the quarantine of a request ends, 0 if there is none.
func (t *Table) TimeLeft(request Fingerprint, now time.Time) time.Duration {
	entry, found := (*t.current.Load())[request]
	if !found {
		return 0
	}
	return max(0, entry.until.Sub(now))
}

// Hold puts a request in quarantine until a time, and returns whether it was not in it.
func (t *Table) Hold(request Fingerprint, until, now time.Time) bool {
	isNew := false
	t.change(now, func(next map[Fingerprint]held) {
		if _, known := next[request]; !known {
			next[request] = held{until: until}
			isNew = true
		}
	})
	return isNew
}

// Lift ends the quarantine of a request, and returns whether it was in it.
func (t *Table) Lift(request Fingerprint, now time.Time) bool {
	if _, held := (*t.current.Load())[request]; !held {
		// The usual case, at each whole answer, copies nothing.
		return false
	}
	lifted := false
	t.change(now, func(next map[Fingerprint]held) {
		_, lifted = next[request]
		delete(next, request)
	})
	return lifted
}

// ApplyStored takes the requests that the store lists, with the end of each quarantine. A
// request that the store listed before and does not list now is lifted; one that this node
// has from its peers alone stays.
func (t *Table) ApplyStored(listed map[Fingerprint]time.Time, now time.Time) {
	t.change(now, func(next map[Fingerprint]held) {
		maps.DeleteFunc(next, func(request Fingerprint, entry held) bool {
			_, isListed := listed[request]
			return entry.stored && !isListed
		})
		for request, until := range listed {
			if known, found := next[request]; found {
				until = known.until
			}
			if now.Before(until) {
				next[request] = held{until: until, stored: true}
			}
		}
	})
}

// change publishes a changed map without the quarantines that are over.
func (t *Table) change(now time.Time, apply func(next map[Fingerprint]held)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := maps.Clone(*t.current.Load())
	maps.DeleteFunc(next, func(_ Fingerprint, entry held) bool { return !now.Before(entry.until) })
	apply(next)
	t.current.Store(&next)
}
