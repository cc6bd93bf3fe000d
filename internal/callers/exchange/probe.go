package exchange

import (
	"context"
	"errors"
	"syscall"
)

// Liveness is what a new connection shows of the process at an address.
type Liveness string

// The kinds of liveness.
const (
	// Alive: the connection was taken.
	Alive Liveness = "alive"
	// Ended: the machine answered that nobody listens there.
	Ended Liveness = "ended"
	// Unknown: no answer, or no connection may be opened.
	Unknown Liveness = "unknown"
)

// Probe opens a new connection to an address to see whether anybody listens there. The
// connection rests for further requests.
func (p *Pool) Probe(ctx context.Context, address string) Liveness {
	others, reserved := p.reserve(address)
	if !reserved {
		return Unknown
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Ended
		}
		return Unknown
	}
	p.Counts.Dialed.Add(1)
	p.Metrics.noteDialed(PurposeProbe, reasonOf(0, others))
	p.rest(newConnection(address, raw), nil)
	return Alive
}
