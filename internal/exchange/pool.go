package exchange

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTime bounds a new connection to a replica.
	dialTime = 600 * time.Millisecond
	// keepIdle is how long a connection rests when the replica names no time,
	// and restMargin how much sooner than the replica's time it is given up.
	keepIdle   = 20 * time.Second
	restMargin = 700 * time.Millisecond
	// silenceLimit ends connections whose peer has gone without a word.
	silenceLimit = 3 * time.Second
	// youngTime is how recently a connection must have been used to carry a
	// request that must not run twice.
	youngTime = 500 * time.Millisecond
	// unboundedResting bounds the connections that rest for an address of which
	// no bound is known.
	unboundedResting = 32
)

// Bound is how many connections to one address this node may have.
type Bound struct {
	// Open counts all, Resting those without a request.
	Open    int
	Resting int
}

// Dial opens a connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

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
}

// NewPool returns an empty pool. A nil dial means TCP.
func NewPool(dial Dial) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, idle: map[string][]*connection{}, open: map[string]int{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silenceLimit, Interval: time.Second, Count: 2},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Send sends a request to an address and reads the head of its answer. Young
// asks for a connection on which a request can hardly cross the peer's close.
// The error is a *NotSentError or a *BrokenError.
func (p *Pool) Send(ctx context.Context, address string, request *Request, young bool) (*Response, error) {
	conn, err := p.take(ctx, address, young)
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
func (p *Pool) take(ctx context.Context, address string, young bool) (*connection, error) {
	for {
		conn := p.pop(address)
		if conn == nil {
			break
		}
		if young && time.Since(conn.rested) > youngTime {
			p.discard(conn)
			continue
		}
		if conn.sound() == nil {
			p.Counts.Reused.Add(1)
			return conn, nil
		}
		p.Counts.Unsound.Add(1)
		p.discard(conn)
	}
	if !p.reserve(address) {
		return nil, ErrTooManyConnections
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	p.Counts.Dialed.Add(1)
	return newConnection(address, raw), nil
}

// reserve counts a new connection to an address unless its bound is reached.
func (p *Pool) reserve(address string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if bound, bounded := p.bounds[address]; bounded && p.open[address] >= bound.Open {
		return false
	}
	p.open[address]++
	p.Counts.Open.Add(1)
	return true
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

// restingBound is how many connections may rest for an address. The mutex must
// be held.
func (p *Pool) restingBound(address string) int {
	if p.bounds == nil {
		return unboundedResting
	}
	return p.bounds[address].Resting
}

func (p *Pool) pop(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	resting := p.idle[address]
	if len(resting) == 0 {
		return nil
	}
	// The one used last is the least likely to have been closed.
	conn := resting[len(resting)-1]
	p.idle[address] = resting[:len(resting)-1]
	return conn
}

// rest keeps a connection for later requests.
func (p *Pool) rest(conn *connection, header http.Header) {
	conn.rested = time.Now()
	conn.restUntil = conn.rested.Add(keepIdle)
	if seconds, named := keepAliveTime(header); named {
		conn.restUntil = conn.rested.Add(seconds - restMargin)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	resting := p.idle[conn.address]
	if len(resting) >= p.restingBound(conn.address) {
		go p.discard(conn)
		return
	}
	p.idle[conn.address] = append(resting, conn)
}

// discard closes a connection.
func (p *Pool) discard(conn *connection) {
	conn.Close()
	p.release(conn.address)
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

// keepAliveTime reads the time that a peer keeps a resting connection.
func keepAliveTime(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
