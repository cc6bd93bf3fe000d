package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// held is a request in quarantine.
type held struct {
	// until is the end of the quarantine, by this node's steady clock.
	until time.Time
	// stored is set once the stored record has listed the request. Its absence from a
	// later record then means that the quarantine was lifted.
	stored bool
}

// Table holds the requests in quarantine that a node knows of. Reads take no lock; each
// update publishes a new map.
type Table struct {
	mutex   sync.Mutex
	current atomic.Pointer[map[Fingerprint]held]
}

// NewTable returns an empty Table.
func NewTable() *Table {
	table := &Table{}
	table.current.Store(&map[Fingerprint]held{})
	return table
}

// IsEmpty reports whether the table holds no request. Expired quarantines count until the next
// update removes them.
func (t *Table) IsEmpty() bool { return len(*t.current.Load()) == 0 }

// Len returns the number of requests in quarantine at time now.
func (t *Table) Len(now time.Time) int {
	count := 0
	for _, entry := range *t.current.Load() {
		if now.Before(entry.until) {
			count++
		}
	}
	return count
}

// TimeLeft returns the time until the quarantine of a request ends, or 0 if it is not in
// quarantine.
func (t *Table) TimeLeft(request Fingerprint, now time.Time) time.Duration {
	entry, found := (*t.current.Load())[request]
	if !found {
		return 0
	}
	return max(0, entry.until.Sub(now))
}

// Add puts a request in quarantine until a time. It returns false and changes nothing if the
// request already is in quarantine.
func (t *Table) Add(request Fingerprint, until, now time.Time) bool {
	isNew := false
	t.change(now, func(next map[Fingerprint]held) {
		if _, known := next[request]; !known {
			next[request] = held{until: until}
			isNew = true
		}
	})
	return isNew
}

// Remove takes a request out of quarantine and reports whether it was in it.
func (t *Table) Remove(request Fingerprint, now time.Time) bool {
	if _, held := (*t.current.Load())[request]; !held {
		// Avoid copying the map in the common case.
		return false
	}
	lifted := false
	t.change(now, func(next map[Fingerprint]held) {
		_, lifted = next[request]
		delete(next, request)
	})
	return lifted
}

// ApplyStored applies the stored record: the requests that it lists, with the end of each
// quarantine. A request that an earlier record listed and this one does not is removed. A
// request that no record has listed yet, known from this node or its peers, stays.
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

// change publishes a copy of the map with apply applied and expired quarantines removed.
func (t *Table) change(now time.Time, apply func(next map[Fingerprint]held)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := maps.Clone(*t.current.Load())
	maps.DeleteFunc(next, func(_ Fingerprint, entry held) bool { return !now.Before(entry.until) })
	apply(next)
	t.current.Store(&next)
}
