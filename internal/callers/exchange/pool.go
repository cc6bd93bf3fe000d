package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// maxFreshIdleTime is the maximum idle time of a connection that is reused for a request which
// must not run twice.
const maxFreshIdleTime = 500 * time.Millisecond

// Counts holds the counters of a pool.
type Counts struct {
	Dialed atomic.Int64
	Reused atomic.Int64
	// Stale counts idle connections that were closed by the peer or had unsolicited
	// data.
	Stale atomic.Int64
	// Open is the current number of connections, including idle ones.
	Open atomic.Int64
}

// Pool maintains connections to replicas. It is safe for concurrent use.
type Pool struct {
	dial  Dial
	mutex sync.Mutex
	idle  map[string][]*connection
	// open is the number of connections to each address, including idle ones.
	open   map[string]int
	limits map[string]ConnectionLimits
	Counts Counts
	// Metrics may be nil. It must not be changed after the first request.
	Metrics *Metrics
}

// NewPool returns an empty Pool. If dial is nil, connections are opened over TCP.
func NewPool(dial Dial) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, idle: map[string][]*connection{}, open: map[string]int{}}
}

// Send sends a request to an address and reads the head of the response. If fresh is set, the
// request must not run twice: Send then uses only a new connection or one that has been idle for at
// most maxFreshIdleTime, which the peer is unlikely to be closing. When the context ends, the connection is closed, also while
// the body is read. The error is a *NotSentError or a *BrokenError.
func (p *Pool) Send(ctx context.Context, address string, request *Request, fresh bool) (*Response, error) {
	if err := request.Validate(); err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	conn, err := p.acquire(ctx, address, request, fresh)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	detach := context.AfterFunc(ctx, func() { conn.Close() })
	response, err := conn.roundTrip(request)
	if err != nil {
		detach()
		p.discard(conn)
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &BrokenError{Address: address, Cause: err}
	}
	response.pool, response.connection, response.detach, response.ctx = p, conn, detach, ctx
	return response, nil
}

// acquire returns a usable idle connection, or a new one.
func (p *Pool) acquire(ctx context.Context, address string, request *Request, fresh bool) (*connection, error) {
	idle, unusable := p.takeIdle(address, request, fresh)
	if idle != nil {
		p.Metrics.recordReused(request.Purpose)
		return idle, nil
	}
	others, reserved := p.reserveOrReplace(address)
	if !reserved {
		return nil, ErrTooManyConnections
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	p.Counts.Dialed.Add(1)
	p.Metrics.recordDialed(request.Purpose, reasonOf(unusable, others))
	return newConnection(address, raw), nil
}

// reserveOrReplace reserves a new connection to an address. At the limit it closes an idle one
// instead, which may not carry the request.
func (p *Pool) reserveOrReplace(address string) (others int, reserved bool) {
	if others, reserved = p.reserve(address); reserved {
		return others, true
	}
	replaced := p.popOldestIdle(address)
	if replaced == nil {
		return others, false
	}
	p.discard(replaced)
	return p.reserve(address)
}

// takeIdle returns the most recently used idle connection that can be reused for a request, or nil.
// It closes the ones that no request can use and returns their number.
func (p *Pool) takeIdle(address string, request *Request, fresh bool) (idle *connection, unusable int) {
	for ; ; unusable++ {
		conn := p.popIdle(address, request, fresh)
		if conn == nil {
			return nil, unusable
		}
		if fresh && time.Since(conn.idleSince) > maxFreshIdleTime {
			p.discard(conn)
			continue
		}
		if conn.checkIdle() == nil {
			p.Counts.Reused.Add(1)
			return conn, unusable
		}
		p.Counts.Stale.Add(1)
		p.discard(conn)
	}
}

// discard closes a connection and releases its reservation.
func (p *Pool) discard(conn *connection) {
	conn.Close()
	p.release(conn.address)
}
