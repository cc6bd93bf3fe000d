package slowstart

// Gate bounds what this node sends to one replica. The zero Gate lets everything
// pass. It is safe for use by many goroutines.
type Gate struct{}

// Open tells whether a request could be sent now.
func (g *Gate) Open() bool { return true }

// Take takes the permit for one request that is sent at once; false means that
// it must not be sent.
func (g *Gate) Take() bool { return true }
