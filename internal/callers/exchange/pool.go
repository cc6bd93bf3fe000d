package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// maxYoungIdleTime is how long a connection may have been idle that carries a request which
// must not run twice.
const maxYoungIdleTime = 500 * time.Millisecond

// Counts are totals of a pool since it was made; Open is the number now.
type Counts struct {
	Dialed atomic.Int64
	Reused atomic.Int64
	// Unsound counts idle connections that were found closed or with surplus bytes.
	Unsound atomic.Int64
	Open    atomic.Int64
}

// Pool keeps connections to replicas. It is safe for use by many goroutines.
type Pool struct {
	dial  Dial
	mutex sync.Mutex
	idle  map[string][]*connection
	// open counts the connections to each address, idle ones included.
	open   map[string]int
	bounds map[string]Bound
	Counts Counts
	// Metrics is nil for none. It must be set before the first request.
	Metrics *Metrics
}

// NewPool returns an empty pool. A nil dial means TCP.
func NewPool(dial Dial) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, idle: map[string][]*connection{}, open: map[string]int{}}
}

// Send sends a request to an address and reads the head of its answer. Young asks for a
// connection that the peer is not about to close: a new one, or one idle for no more than
// maxYoungIdleTime. The end of the context breaks the exchange. The error is a *NotSentError
// or a *BrokenError.
func (p *Pool) Send(ctx context.Context, address string, request *Request, young bool) (*Response, error) {
	conn, err := p.acquire(ctx, address, request.Purpose, young)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	response, err := conn.roundTrip(request)
	if err != nil {
		stop()
		p.discard(conn)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &BrokenError{Address: address, Cause: err}
	}
	response.pool, response.connection, response.stop, response.ctx = p, conn, stop, ctx
	return response, nil
}

// acquire returns an idle connection that can be used, or a new one.
func (p *Pool) acquire(ctx context.Context, address string, purpose Purpose, young bool) (*connection, error) {
	idle, unfit := p.takeIdle(address, young)
	if idle != nil {
		p.Metrics.recordReused(purpose)
		return idle, nil
	}
	others, reserved := p.reserve(address)
	if !reserved {
		return nil, ErrTooManyConnections
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	p.Counts.Dialed.Add(1)
	p.Metrics.recordDialed(purpose, reasonOf(unfit, others))
	return newConnection(address, raw), nil
}

// takeIdle returns the idle connection used last that is young enough and sound, nil for
// none. Those that are not are closed, and counted as unfit.
func (p *Pool) takeIdle(address string, young bool) (idle *connection, unfit int) {
	for ; ; unfit++ {
		conn := p.popIdle(address)
		if conn == nil {
			return nil, unfit
		}
		if young && time.Since(conn.idleSince) > maxYoungIdleTime {
			p.discard(conn)
			continue
		}
		if conn.checkIdle() == nil {
			p.Counts.Reused.Add(1)
			return conn, unfit
		}
		p.Counts.Unsound.Add(1)
		p.discard(conn)
	}
}

// discard closes a connection.
func (p *Pool) discard(conn *connection) {
	conn.Close()
	p.release(conn.address)
}
