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

// crash is the crash of a replica that ran a request.
type crash struct {
	replica string
	at      time.Time
}

// suspect is the state of a request that may crash replicas.
type suspect struct {
	// crashes holds at most CrashTracker.maxCrashes crashes, in the order in which they became
	// known.
	crashes []crash
	// succeededAt is when the request last succeeded, zero for never. Crashes before that
	// time do not count, even if they become known later.
	succeededAt time.Time
	// lastSeen is the time of the most recent crash or success.
	lastSeen time.Time
}

// CrashTracker counts the crashes of replicas by request. It does no I/O and reads no clock. It
// is not safe for concurrent use.
//
// Invariants: the crashes of a request are those known since its last success, but no more
// than maxCrashes; adding the same crash again, in any order, changes nothing; there
// are at most maxSuspects requests.
type CrashTracker struct {
	maxCrashes int
	suspects   map[Fingerprint]*suspect
}

// NewCrashTracker returns an empty CrashTracker that counts up to maxCrashes crashes of a request.
func NewCrashTracker(maxCrashes int) *CrashTracker {
	return &CrashTracker{maxCrashes: maxCrashes, suspects: map[Fingerprint]*suspect{}}
}

// Add adds the crash of a replica to a request and returns the number of crashes now known.
func (t *CrashTracker) Add(request Fingerprint, replica string, at, now time.Time) int {
	t.Prune(now)
	entry := t.suspect(request, at)
	if at.After(entry.succeededAt) && len(entry.crashes) < t.maxCrashes && !entry.has(replica, at) {
		entry.crashes = append(entry.crashes, crash{replica: replica, at: at})
	}
	return len(entry.crashes)
}

// suspect returns the entry of a request, creating it if necessary, and records that the
// request was seen at a time.
func (t *CrashTracker) suspect(request Fingerprint, at time.Time) *suspect {
	entry := t.suspects[request]
	if entry == nil {
		if len(t.suspects) >= maxSuspects {
			t.dropOldest()
		}
		entry = &suspect{}
		t.suspects[request] = entry
	}
	if at.After(entry.lastSeen) {
		entry.lastSeen = at
	}
	return entry
}

// has reports whether a crash is known already: two crashes of one replica less than
// minCrashInterval apart are the same crash.
func (s *suspect) has(replica string, at time.Time) bool {
	for _, known := range s.crashes {
		if known.replica == replica && at.Sub(known.at).Abs() < minCrashInterval {
			return true
		}
	}
	return false
}

// Crashes returns the known crashes of a request.
func (t *CrashTracker) Crashes(request Fingerprint) []crash {
	if entry := t.suspects[request]; entry != nil {
		return entry.crashes
	}
	return nil
}

// LastSeen returns the time of the most recent crash or success of a request, zero if it is
// unknown.
func (t *CrashTracker) LastSeen(request Fingerprint) time.Time {
	if entry := t.suspects[request]; entry != nil {
		return entry.lastSeen
	}
	return time.Time{}
}

// RecordSuccess records that a request succeeded, and reports whether it had crashes. It also
// creates an entry for an unknown request, since reports of earlier crashes may still arrive.
func (t *CrashTracker) RecordSuccess(request Fingerprint, now time.Time) bool {
	entry := t.suspect(request, now)
	hadCrashes := len(entry.crashes) > 0
	entry.crashes, entry.succeededAt = nil, now
	return hadCrashes
}

// Len returns the number of suspects.
func (t *CrashTracker) Len() int { return len(t.suspects) }

// Prune drops suspects without a crash or success for suspectLifetime.
func (t *CrashTracker) Prune(now time.Time) {
	maps.DeleteFunc(t.suspects, func(_ Fingerprint, entry *suspect) bool { return now.Sub(entry.lastSeen) > suspectLifetime })
}

// dropOldest drops the suspect whose last crash or success is the longest ago.
func (t *CrashTracker) dropOldest() {
	var oldest Fingerprint
	var oldestSeen time.Time
	for request, entry := range t.suspects {
		if oldestSeen.IsZero() || entry.lastSeen.Before(oldestSeen) {
			oldest, oldestSeen = request, entry.lastSeen
		}
	}
	delete(t.suspects, oldest)
}
