package exchange

// defaultMaxIdle bounds the idle connections to an address before the first SetBounds.
const defaultMaxIdle = 32

// Bound is how many connections to one address this node may have.
type Bound struct {
	// Open bounds all connections, Idle those without a request.
	Open int
	Idle int
}

// maxIdle returns the bound on idle connections to an address. The mutex must be held.
func (p *Pool) maxIdle(address string) int {
	if p.bounds == nil {
		return defaultMaxIdle
	}
	return p.bounds[address].Idle
}

// reserve counts a new connection to an address unless its bound is reached, and returns
// how many others there are.
func (p *Pool) reserve(address string) (others int, reserved bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	others = p.open[address]
	if bound, bounded := p.bounds[address]; bounded && others >= bound.Open {
		return others, false
	}
	p.open[address]++
	p.Counts.Open.Add(1)
	return others, true
}

// release counts a connection as closed.
func (p *Pool) release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.Counts.Open.Add(-1)
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// SetBounds sets the bounds of each address. Idle connections beyond them are closed, and
// all idle ones to addresses not named.
func (p *Pool) SetBounds(bounds map[string]Bound) {
	p.mutex.Lock()
	p.bounds = bounds
	var dropped []*connection
	for address, idle := range p.idle {
		// The last ones are the least likely to have been closed by the peer.
		if surplus := len(idle) - bounds[address].Idle; surplus > 0 {
			dropped = append(dropped, idle[:surplus]...)
			p.idle[address] = idle[surplus:]
		}
		if len(p.idle[address]) == 0 {
			delete(p.idle, address)
		}
	}
	p.mutex.Unlock()
	for _, conn := range dropped {
		p.discard(conn)
	}
}
