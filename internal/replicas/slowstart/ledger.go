package slowstart

import "time"

// ledgerEntry is a number of permits and when the request for them was received, by the
// allotter's boot-time clock.
type ledgerEntry struct {
	at    time.Time
	count int
}

// Ledger holds the permits allotted for each replica. It is not safe for use by many
// goroutines.
type Ledger struct {
	// window is how long an entry counts.
	window  time.Duration
	entries map[string][]ledgerEntry
}

// NewLedger returns an empty ledger whose entries count for Window.
func NewLedger() *Ledger { return &Ledger{window: Window, entries: map[string][]ledgerEntry{}} }

// Allot records up to a wanted number of permits for a replica and returns how many, so
// that no window has more than most of them. Times must not go back.
func (l *Ledger) Allot(replica string, at time.Time, wanted, most int) int {
	allotted := min(wanted, most-l.inWindow(replica, at))
	if allotted <= 0 {
		return 0
	}
	l.entries[replica] = append(l.entries[replica], ledgerEntry{at: at, count: allotted})
	return allotted
}

// inWindow returns how many permits for a replica count at a time.
func (l *Ledger) inWindow(replica string, at time.Time) int {
	l.dropExpired(replica, at)
	total := 0
	for _, entry := range l.entries[replica] {
		total += entry.count
	}
	return total
}

// dropExpired drops the entries of a replica that do not count at a time.
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

// Prune drops all entries that do not count at a time.
func (l *Ledger) Prune(at time.Time) {
	for replica := range l.entries {
		l.dropExpired(replica, at)
	}
}
