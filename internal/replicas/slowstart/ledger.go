package slowstart

import "time"

// ledgerEntry is a number of permits and the time at which the request for them was received,
// in the allotter's boot-time clock.
type ledgerEntry struct {
	at    time.Time
	count int
}

// Ledger records the permits allotted for each replica. It is not safe for concurrent use.
type Ledger struct {
	// window is how long an entry counts.
	window  time.Duration
	entries map[string][]ledgerEntry
}

// NewLedger returns an empty ledger whose entries count for Window.
func NewLedger() *Ledger { return &Ledger{window: Window, entries: map[string][]ledgerEntry{}} }

// Allot records up to wanted permits for a replica and returns their number. At most limit
// permits are recorded in any window. Successive times must not decrease.
func (l *Ledger) Allot(replica string, at time.Time, wanted, limit int) int {
	allotted := min(wanted, limit-l.inWindow(replica, at))
	if allotted <= 0 {
		return 0
	}
	l.entries[replica] = append(l.entries[replica], ledgerEntry{at: at, count: allotted})
	return allotted
}

// inWindow returns how many permits of a replica count at the given time.
func (l *Ledger) inWindow(replica string, at time.Time) int {
	l.dropExpired(replica, at)
	total := 0
	for _, entry := range l.entries[replica] {
		total += entry.count
	}
	return total
}

// dropExpired removes the expired entries of a replica.
func (l *Ledger) dropExpired(replica string, at time.Time) {
	entries := l.entries[replica]
	for len(entries) > 0 && at.Sub(entries[0].at) > l.window {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		delete(l.entries, replica)
		return
	}
	l.entries[replica] = entries
}

// Prune removes the expired entries of all replicas.
func (l *Ledger) Prune(at time.Time) {
	for replica := range l.entries {
		l.dropExpired(replica, at)
	}
}
