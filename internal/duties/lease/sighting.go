package lease

// Sighting is the newest word of the lease.
type Sighting struct {
	// Holder wrote Revision.
	Holder   string
	Revision uint64
	// Released tells that it gave the lease up with it.
	Released bool
}

// Observe takes another node's word of the lease, and tells whether it is news.
func (l *Lease) Observe(seen Sighting) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.observe(l.clock(), seen.Holder, seen.Revision, seen.Released)
}

// Seen returns the newest word of the lease that this node has.
func (l *Lease) Seen() Sighting {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Sighting{Holder: l.state.holder, Revision: l.state.revision, Released: l.state.released}
}
