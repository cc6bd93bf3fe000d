package exchange

// unboundedResting bounds the connections that rest for an address of which no
// bound is known.
const unboundedResting = 32

// Bound is how many connections to one address this node may have.
type Bound struct {
	// Open counts all, Resting those without a request.
	Open    int
	Resting int
}

// restingBound is how many connections may rest for an address. The mutex must
// be held.
func (p *Pool) restingBound(address string) int {
	if p.bounds == nil {
		return unboundedResting
	}
	return p.bounds[address].Resting
}

// reserve counts a new connection to an address unless its bound is reached, and
// tells how many others there are.
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

// release counts a connection as gone.
func (p *Pool) release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.Counts.Open.Add(-1)
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// SetBounds says how many connections each address may have. Resting ones
// beyond that are closed, and all that rest for an address not named.
func (p *Pool) SetBounds(bounds map[string]Bound) {
	p.mutex.Lock()
	p.bounds = bounds
	var dropped []*connection
	for address, resting := range p.idle {
		// The last ones were used last and are the least likely to have been
		// closed by the peer.
		if surplus := len(resting) - bounds[address].Resting; surplus > 0 {
			dropped = append(dropped, resting[:surplus]...)
			p.idle[address] = resting[surplus:]
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
