package exchange

// defaultMaxIdle is the maximum number of idle connections to an address until SetLimits is
// called.
const defaultMaxIdle = 32

// ConnectionLimits limits the connections of a pool to one address.
type ConnectionLimits struct {
	// Open is the maximum number of connections, including idle ones.
	Open int
	// Idle is the maximum number of idle connections.
	Idle int
}

// maxIdle returns the maximum number of idle connections to an address. The caller must hold
// the mutex.
func (p *Pool) maxIdle(address string) int {
	if p.limits == nil {
		return defaultMaxIdle
	}
	return p.limits[address].Idle
}

// reserve counts a new connection to an address, unless the limit is reached. It returns the
// number of other connections to the address.
func (p *Pool) reserve(address string) (others int, reserved bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	others = p.open[address]
	if limit, limited := p.limits[address]; limited && others >= limit.Open {
		return others, false
	}
	p.open[address]++
	p.Counts.Open.Add(1)
	return others, true
}

// release undoes reserve for a connection that is closed or could not be opened.
func (p *Pool) release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.Counts.Open.Add(-1)
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// SetLimits sets the limits of each address. It closes idle connections that exceed them, and
// all idle connections to addresses that are not listed.
func (p *Pool) SetLimits(limits map[string]ConnectionLimits) {
	p.mutex.Lock()
	p.limits = limits
	var excess []*connection
	for address, idle := range p.idle {
		// Keep the most recently used connections: the peer is least likely to have
		// closed them.
		if surplus := len(idle) - limits[address].Idle; surplus > 0 {
			excess = append(excess, idle[:surplus]...)
			p.idle[address] = idle[surplus:]
		}
		if len(p.idle[address]) == 0 {
			delete(p.idle, address)
		}
	}
	p.mutex.Unlock()
	for _, conn := range excess {
		p.discard(conn)
	}
}
