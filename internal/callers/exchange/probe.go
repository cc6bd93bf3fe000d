package exchange

import (
	"context"
	"errors"
	"syscall"
)

// Liveness is what the opening of a connection shows of the process at an address.
type Liveness string

// The kinds of liveness.
const (
	// Alive means that the connection was accepted.
	Alive Liveness = "alive"
	// Ended means that the machine refused it: no process listens there.
	Ended Liveness = "ended"
	// Unknown means no answer, or that the bound on connections is reached.
	Unknown Liveness = "unknown"
)

// Probe opens a new connection to an address to check whether a process listens there. The
// connection is kept for further requests.
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
	p.Metrics.recordDialed(PurposeProbe, reasonOf(0, others))
	p.keep(newConnection(address, raw), nil)
	return Alive
}
