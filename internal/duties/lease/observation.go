package lease

// Observation is the newest revision of the lease that a node knows of.
type Observation struct {
	// Holder is the node that wrote Revision, "" and 0 if the lease was never observed.
	Holder   string
	Revision uint64
	// Released says that the holder gave the lease up with it.
	Released bool
}

// Observe takes an observation that another node has sent, and reports whether it is
// newer than what this node knew.
func (l *Lease) Observe(seen Observation) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.observe(l.clock(), seen)
}

// LastObserved returns the newest revision of the lease that this node knows of.
func (l *Lease) LastObserved() Observation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Observation{Holder: l.state.holder, Revision: l.state.revision, Released: l.state.released}
}
