package slowstart

import "time"

// entry is what was allotted at an instant of the allotter's boot-time clock.
type entry struct {
	at    time.Time
	count int
}

// Ledger holds what has been allotted of each replica. It is not safe for use by
// many goroutines.
type Ledger struct {
	// window is for how long an entry counts.
	window  time.Duration
	entries map[string][]entry
}

// NewLedger returns a ledger with nothing in it.
func NewLedger() *Ledger { return &Ledger{window: Window, entries: map[string][]entry{}} }

// Allot notes up to a wanted number of requests to a replica and returns how many,
// so that no window holds more than a number of them. Instants never go back.
func (l *Ledger) Allot(replica string, at time.Time, wanted, most int) int {
	allotted := min(wanted, most-l.alive(replica, at))
	if allotted <= 0 {
		return 0
	}
	l.entries[replica] = append(l.entries[replica], entry{at: at, count: allotted})
	return allotted
}

// alive is how many requests to a replica count at an instant.
func (l *Ledger) alive(replica string, at time.Time) int {
	l.forget(replica, at)
	total := 0
	for _, noted := range l.entries[replica] {
		total += noted.count
	}
	return total
}

// forget drops what counts no more at an instant.
func (l *Ledger) forget(replica string, at time.Time) {
	noted := l.entries[replica]
	for len(noted) > 0 && at.Sub(noted[0].at) > l.window {
		noted = noted[1:]
	}
	if len(noted) == 0 {
		delete(l.entries, replica)
		return
	}
	l.entries[replica] = noted
}

// Prune drops everything that counts no more at an instant.
func (l *Ledger) Prune(at time.Time) {
	for replica := range l.entries {
		l.forget(replica, at)
	}
}
