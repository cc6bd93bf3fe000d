package quarantine

import (
	"maps"
	"time"
)

const (
	// endsToQuarantine is how many ends of replicas under one request put it in
	// quarantine. A good request that shares replicas with one that ends them meets two
	// ends now and then; three without an answer in between are its own.
	endsToQuarantine = 3
	// ledgerMemory is for how long after its last end a request is remembered: callers
	// and queues try again for minutes.
	suspectLifetime = 10 * time.Minute
	// mostSuspects bounds the requests remembered. Losing a rack of replicas cuts off
	// some hundreds; each takes about 200 bytes.
	maxSuspects = 4096
)

// end is the end of a replica under a request.
type end struct {
	replica string
	at      time.Time
}

// suspect is a request under which replicas have ended.
type suspect struct {
	// ends are at most endsToQuarantine, in the order in which they became known.
	ends []end
	// served is when it was last known to be served, zero for never: ends from before that
	// count nothing, in whatever order they are told.
	served time.Time
	// last is when anything of it came last.
	last time.Time
}

// Ledger counts the ends of replicas under requests. It does no input or output and reads
// no clock, so that a test can drive it. It is not safe for use by many goroutines.
//
// Invariants: a request has as many ends as replicas are known to have ended under it since
// it was served, but no more than endsToQuarantine; taking the same end again, in any
// order, changes nothing; there are no more than mostSuspects requests.
type Ledger struct {
	suspects map[Fingerprint]*suspect
}

// NewLedger returns a ledger without requests.
func NewLedger() *Ledger { return &Ledger{suspects: map[Fingerprint]*suspect{}} }

// Add takes the end of a replica under a request and returns how many there are.
func (l *Ledger) Add(request Fingerprint, replica string, at, now time.Time) int {
	l.Prune(now)
	known := l.suspect(request, at)
	if at.After(known.served) && len(known.ends) < endsToQuarantine && !known.has(replica, at) {
		known.ends = append(known.ends, end{replica: replica, at: at})
	}
	return len(known.ends)
}

// suspect returns what is known of a request of which something came at an instant.
func (l *Ledger) suspect(request Fingerprint, at time.Time) *suspect {
	known := l.suspects[request]
	if known == nil {
		if len(l.suspects) >= maxSuspects {
			l.dropOldest()
		}
		known = &suspect{}
		l.suspects[request] = known
	}
	if at.After(known.last) {
		known.last = at
	}
	return known
}

// has tells whether an end is known: one of the same replica at about the same time.
func (s *suspect) has(replica string, at time.Time) bool {
	for _, known := range s.ends {
		if known.replica == replica && at.Sub(known.at).Abs() < minEndInterval {
			return true
		}
	}
	return false
}

// Ends returns the ends known under a request.
func (l *Ledger) Ends(request Fingerprint) []end {
	if known := l.suspects[request]; known != nil {
		return known.ends
	}
	return nil
}

// Serve takes the word that a request was served, and tells whether there were ends under
// it. A request of which nothing is known is remembered as well: ends from before may yet be
// told.
func (l *Ledger) RecordServed(request Fingerprint, now time.Time) bool {
	known := l.suspect(request, now)
	had := len(known.ends) > 0
	known.ends, known.served = nil, now
	return had
}

// Len counts the requests.
func (l *Ledger) Len() int { return len(l.suspects) }

// Prune forgets the requests whose last end is long ago.
func (l *Ledger) Prune(now time.Time) {
	maps.DeleteFunc(l.suspects, func(_ Fingerprint, known *suspect) bool { return now.Sub(known.last) > suspectLifetime })
}

// dropOldest forgets the request whose last end is the longest ago.
func (l *Ledger) dropOldest() {
	var oldest Fingerprint
	var last time.Time
	for request, known := range l.suspects {
		if last.IsZero() || known.last.Before(last) {
			oldest, last = request, known.last
		}
	}
	delete(l.suspects, oldest)
}
