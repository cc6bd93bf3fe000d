package quarantine

import (
	"maps"
	"time"
)

const (
	// suspectLifetime is how long a suspect is kept after its last crash. Callers and
	// queues may retry for minutes.
	suspectLifetime = 10 * time.Minute
	// maxSuspects is the maximum number of suspects, of about 200 bytes each. The loss of
	// a rack of replicas may create hundreds of them at once.
	maxSuspects = 4096
)

// end is the crash of a replica that ran a request.
type end struct {
	replica string
	at      time.Time
}

// suspect is the state of a request that may crash replicas.
type suspect struct {
	// ends holds at most endsToQuarantine crashes, in the order in which they became
	// known.
	ends []end
	// served is when the request last succeeded, zero for never. Crashes before that
	// time do not count, even if they become known later.
	served time.Time
	// last is the time of the most recent crash or success.
	last time.Time
}

// CrashTracker counts the crashes of replicas by request. It does no I/O and reads no clock. It is
// not safe for concurrent use.
//
// Invariants: the crashes of a request are those known since its last success, but no more
// than endsToQuarantine; adding the same crash again, in any order, changes nothing; there
// are at most maxSuspects requests.
type CrashTracker struct {
	suspects map[Fingerprint]*suspect
}

// NewCrashTracker returns an empty Ledger.
func NewCrashTracker() *CrashTracker { return &CrashTracker{suspects: map[Fingerprint]*suspect{}} }

// Add adds the crash of a replica to a request and returns the number of crashes now known.
func (l *CrashTracker) Add(request Fingerprint, replica string, at, now time.Time) int {
	l.Prune(now)
	known := l.suspect(request, at)
	if at.After(known.served) && len(known.ends) < endsToQuarantine && !known.has(replica, at) {
		known.ends = append(known.ends, end{replica: replica, at: at})
	}
	return len(known.ends)
}

// suspect returns the entry of a request, creating it if necessary, and records that the
// request was seen at a time.
func (l *CrashTracker) suspect(request Fingerprint, at time.Time) *suspect {
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

// has reports whether a crash is known already: two crashes of one replica less than
// minEndInterval apart are the same crash.
func (s *suspect) has(replica string, at time.Time) bool {
	for _, known := range s.ends {
		if known.replica == replica && at.Sub(known.at).Abs() < minEndInterval {
			return true
		}
	}
	return false
}

// Crashes returns the known crashes of a request.
func (l *CrashTracker) Crashes(request Fingerprint) []end {
	if known := l.suspects[request]; known != nil {
		return known.ends
	}
	return nil
}

// RecordServed records that a request succeeded, and reports whether it had crashes. It also
// creates an entry for an unknown request, since reports of earlier crashes may still arrive.
func (l *CrashTracker) RecordServed(request Fingerprint, now time.Time) bool {
	known := l.suspect(request, now)
	had := len(known.ends) > 0
	known.ends, known.served = nil, now
	return had
}

// Len returns the number of suspects.
func (l *CrashTracker) Len() int { return len(l.suspects) }

// Prune drops suspects without a crash or success for suspectLifetime.
func (l *CrashTracker) Prune(now time.Time) {
	maps.DeleteFunc(l.suspects, func(_ Fingerprint, known *suspect) bool { return now.Sub(known.last) > suspectLifetime })
}

// dropOldest drops the suspect whose last crash or success is the longest ago.
func (l *CrashTracker) dropOldest() {
	var oldest Fingerprint
	var last time.Time
	for request, known := range l.suspects {
		if last.IsZero() || known.last.Before(last) {
			oldest, last = request, known.last
		}
	}
	delete(l.suspects, oldest)
}
