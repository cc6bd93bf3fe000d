package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// youngTime is how recently a connection must have been used to carry a request
// that must not run twice.
const youngTime = 500 * time.Millisecond

// Counts are totals of a pool.
type Counts struct {
	Dialed atomic.Int64
	Reused atomic.Int64
	// Unsound counts kept connections that were found closed or with surplus
	// bytes.
	Unsound atomic.Int64
	Open    atomic.Int64
}

// Pool keeps connections to replicas. It is safe for use by many goroutines.
type Pool struct {
	dial  Dial
	mutex sync.Mutex
	idle  map[string][]*connection
	// open counts the connections to each address, resting ones included.
	open   map[string]int
	bounds map[string]Bound
	Counts Counts
	// Metrics are nil for none. They are set before the first request.
	Metrics *Metrics
}

// NewPool returns an empty pool. A nil dial means TCP.
func NewPool(dial Dial) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, idle: map[string][]*connection{}, open: map[string]int{}}
}

// Send sends a request to an address and reads the head of its answer. Young
// asks for a connection on which a request can hardly cross the peer's close.
// The error is a *NotSentError or a *BrokenError.
func (p *Pool) Send(ctx context.Context, address string, request *Request, young bool) (*Response, error) {
	conn, err := p.take(ctx, address, request.Purpose, young)
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

// take returns a sound kept connection or a new one.
func (p *Pool) take(ctx context.Context, address string, purpose Purpose, young bool) (*connection, error) {
	kept, unfit := p.takeKept(address, young)
	if kept != nil {
		p.Metrics.noteReused(purpose)
		return kept, nil
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
	p.Metrics.noteDialed(purpose, reasonOf(unfit, others))
	return newConnection(address, raw), nil
}

// takeKept returns a sound kept connection, nil for none. Those that are found
// to be of no use are closed and counted.
func (p *Pool) takeKept(address string, young bool) (kept *connection, unfit int) {
	for ; ; unfit++ {
		conn := p.pop(address)
		if conn == nil {
			return nil, unfit
		}
		if young && time.Since(conn.rested) > youngTime {
			p.discard(conn)
			continue
		}
		if conn.sound() == nil {
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
