package lease

// Observation is a revision of the lease as one node has observed it.
type Observation struct {
	// Holder is the node that wrote Revision. Both are zero if the lease was never
	// observed.
	Holder   string
	Revision uint64
	// Released means that the holder released the lease with this write.
	Released bool
}

// Observe applies an observation that another node has sent, and reports whether it is
// newer than the last one.
func (l *Lease) Observe(observed Observation) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.observe(l.clock(), observed)
}

// LastObserved returns the newest observation of the lease that this node knows of.
func (l *Lease) LastObserved() Observation {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Observation{Holder: l.state.holder, Revision: l.state.revision, Released: l.state.released}
}
