package quarantine

import (
	"maps"
	"time"
)

const (
	// suspectLifetime is how long after its last end a request is remembered: callers and
	// queues try again for minutes.
	suspectLifetime = 10 * time.Minute
	// maxSuspects bounds the requests remembered, some 200 bytes each. The loss of a rack
	// of replicas cuts off some hundreds.
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
	// served is when it was last known to be served, zero for never. Ends from before do
	// not count, in whatever order they become known.
	served time.Time
	// last is when it was last seen to end a replica or to be served.
	last time.Time
}

// Ledger counts the ends of replicas under requests. It does no input or output and reads
// no clock. It is not safe for use by many goroutines.
//
// Invariants: a request has as many ends as replicas are known to have ended under it since
// it was served, but no more than endsToQuarantine; taking the same end again, in any
// order, changes nothing; there are no more than mostSuspects requests.
type Ledger struct {
	suspects map[Fingerprint]*suspect
}

// NewLedger returns a ledger without requests.
func NewLedger() *Ledger { return &Ledger{suspects: map[Fingerprint]*suspect{}} }

// Add adds the end of a replica under a request and returns how many are known.
func (l *Ledger) Add(request Fingerprint, replica string, at, now time.Time) int {
	l.Prune(now)
	known := l.suspect(request, at)
	if at.After(known.served) && len(known.ends) < endsToQuarantine && !known.has(replica, at) {
		known.ends = append(known.ends, end{replica: replica, at: at})
	}
	return len(known.ends)
}

// suspect returns the entry of a request that was seen at a time, a new one if there is
// none.
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

// has returns whether an end is known: one of the same replica within minEndInterval.
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

// RecordServed records that a request was served, and returns whether there were ends
// under it. An unknown request is remembered too, since reports of earlier ends may still
// come.
func (l *Ledger) RecordServed(request Fingerprint, now time.Time) bool {
	known := l.suspect(request, now)
	had := len(known.ends) > 0
	known.ends, known.served = nil, now
	return had
}

// Len returns the number of requests remembered.
func (l *Ledger) Len() int { return len(l.suspects) }

// Prune drops the requests that were not seen for suspectLifetime.
func (l *Ledger) Prune(now time.Time) {
	maps.DeleteFunc(l.suspects, func(_ Fingerprint, known *suspect) bool { return now.Sub(known.last) > suspectLifetime })
}

// dropOldest drops the request that was not seen for the longest time.
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
