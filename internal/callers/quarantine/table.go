package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// quarantineEntry is a request in quarantine.
type quarantineEntry struct {
	// until is the end of the quarantine, by Config.Clock.
	until time.Time
	// inStore is set once the stored record has listed the request. Its absence from a
	// later record then means that the quarantine was lifted.
	inStore bool
}

// Table holds the requests in quarantine that a node knows of. Reads take no lock; each
// update publishes a new map.
type Table struct {
	mutex   sync.Mutex
	current atomic.Pointer[map[Fingerprint]quarantineEntry]
}

// NewTable returns an empty Table.
func NewTable() *Table {
	table := &Table{}
	table.current.Store(&map[Fingerprint]quarantineEntry{})
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

// Remaining returns the time until the quarantine of a request ends, or 0 if it is not in
// quarantine.
func (t *Table) Remaining(request Fingerprint, now time.Time) time.Duration {
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
	t.update(now, func(next map[Fingerprint]quarantineEntry) {
		if _, found := next[request]; !found {
			next[request] = quarantineEntry{until: until}
			isNew = true
		}
	})
	return isNew
}

// Remove takes a request out of quarantine and reports whether it was in it.
func (t *Table) Remove(request Fingerprint, now time.Time) bool {
	if _, found := (*t.current.Load())[request]; !found {
		// Avoid copying the map in the common case.
		return false
	}
	removed := false
	t.update(now, func(next map[Fingerprint]quarantineEntry) {
		_, removed = next[request]
		delete(next, request)
	})
	return removed
}

// ApplyStored applies the stored record: the requests that it lists, with the end of each
// quarantine. A request that an earlier record listed and this one does not is removed. A
// request that no record has listed yet, known from this node or its peers, stays.
func (t *Table) ApplyStored(listed map[Fingerprint]time.Time, now time.Time) {
	t.update(now, func(next map[Fingerprint]quarantineEntry) {
		maps.DeleteFunc(next, func(request Fingerprint, entry quarantineEntry) bool {
			_, isListed := listed[request]
			return entry.inStore && !isListed
		})
		for request, until := range listed {
			if known, found := next[request]; found {
				until = known.until
			}
			if now.Before(until) {
				next[request] = quarantineEntry{until: until, inStore: true}
			}
		}
	})
}

// update publishes a copy of the map with apply applied and expired quarantines removed.
func (t *Table) update(now time.Time, apply func(next map[Fingerprint]quarantineEntry)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := maps.Clone(*t.current.Load())
	maps.DeleteFunc(next, func(_ Fingerprint, entry quarantineEntry) bool { return !now.Before(entry.until) })
	apply(next)
	t.current.Store(&next)
}
