package exchange

import (
	"context"
	"errors"
	"syscall"
)

// Liveness says whether a process listens at an address.
type Liveness string

// Results of a Probe.
const (
	// Alive: a connection was accepted.
	Alive Liveness = "alive"
	// Dead: the connection was refused, so no process listens at the address.
	Dead Liveness = "ended"
	// Unknown: opening the connection failed in another way, or the limit on connections
	// is reached.
	Unknown Liveness = "unknown"
)

// Probe opens a new connection to an address to check whether a process listens there. The
// connection is then available for requests.
func (p *Pool) Probe(ctx context.Context, address string) Liveness {
	others, reserved := p.reserve(address)
	if !reserved {
		return Unknown
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Dead
		}
		return Unknown
	}
	p.Counts.Dialed.Add(1)
	p.Metrics.recordDialed(PurposeProbe, reasonOf(0, others))
	p.putIdle(newConnection(address, raw), nil)
	return Alive
}
