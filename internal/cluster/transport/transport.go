package transport

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// queueLength is the most frames queued for one peer, enough for several seconds of
	// heartbeats.
	queueLength = 128
	dialTimeout = time.Second
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 5 * time.Second
	// idleTimeout closes a connection on which nothing was sent. Most connections only
	// carry the start and the end of a batch job, a few seconds apart.
	idleTimeout = 15 * time.Second
	// helloTimeout bounds the time for the first frame of a peer's connection, and maxHelloBytes
	// its size.
	helloTimeout  = 5 * time.Second
	maxHelloBytes = 64 << 10
	// redialDelay is how long one-way messages to a peer are dropped after a connection to
	// it failed. A request always dials again.
	redialDelay = 400 * time.Millisecond
	// acceptRetryDelay is the pause after an Accept that failed.
	acceptRetryDelay = 10 * time.Millisecond
)

// Transport implements environment.Peers over TCP. It is safe for concurrent use.
type Transport struct {
	config   Config
	listener net.Listener
	mutex    sync.Mutex
	outgoing map[string]*outgoing
	incoming map[net.Conn]*incoming
	closed   bool
	counts   Counts
	// unreachableAt is when a connection to an address last failed.
	unreachableAt map[string]time.Time
}

// Listen returns a transport that accepts the connections of peers on a listener until it
// is closed.
func Listen(listener net.Listener, config Config) *Transport {
	transport := &Transport{
		config:        config,
		listener:      listener,
		outgoing:      map[string]*outgoing{},
		incoming:      map[net.Conn]*incoming{},
		unreachableAt: map[string]time.Time{},
	}
	go transport.accept()
	return transport
}

// Counts returns the totals, which the transport keeps updating.
func (t *Transport) Counts() *Counts { return &t.counts }

// Close closes the listener and all connections.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	peers := t.outgoing
	t.outgoing = map[string]*outgoing{}
	for connection := range t.incoming {
		connection.Close()
	}
	t.mutex.Unlock()
	t.listener.Close()
	for _, peer := range peers {
		peer.close()
	}
}

// Send implements environment.Peers.
func (t *Transport) Send(address string, message wire.Message) {
	t.Broadcast([]string{address}, message)
}

// Broadcast implements environment.Peers.
func (t *Transport) Broadcast(addresses []string, message wire.Message) {
	encoded, err := wire.Encode(wire.Frame{Message: message})
	if err != nil {
		t.counts.FramesDropped.Add(int64(len(addresses)))
		return
	}
	for _, address := range addresses {
		if peer := t.connectionTo(address, false); peer != nil && peer.enqueue(encoded) {
			t.config.Traffic.count(message, directionOut, len(encoded))
		}
	}
}

// Call implements environment.Peers.
func (t *Transport) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	peer := t.connectionTo(address, true)
	if peer == nil {
		t.config.Post(func() { done(nil, merry.Wrap(environment.ErrPeerUnreachable)) })
		return
	}
	correlation := peer.register(timeout, done)
	frame := wire.Frame{Correlation: correlation, Timeout: timeout, Message: message}
	encoded, err := wire.Encode(frame)
	if err != nil {
		peer.finish(correlation, nil, err)
		return
	}
	if !peer.enqueue(encoded) {
		peer.finish(correlation, nil, merry.Wrap(environment.ErrPeerUnreachable))
		return
	}
	t.config.Traffic.count(message, directionOut, len(encoded))
}

// connectionTo returns the connection to a peer and opens one if there is none. It returns
// nil after Close and, unless redial is set, within redialDelay of a failed connection.
func (t *Transport) connectionTo(address string, redial bool) *outgoing {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil
	}
	peer := t.outgoing[address]
	if peer == nil && !redial && time.Since(t.unreachableAt[address]) < redialDelay {
		return nil
	}
	if peer == nil {
		peer = newOutgoing(t, address)
		t.outgoing[address] = peer
		go peer.run()
	}
	return peer
}

// recordUnreachable records that a connection to an address failed.
func (t *Transport) recordUnreachable(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unreachableAt[address] = time.Now()
}

// removeOutgoing removes a connection that has ended.
func (t *Transport) removeOutgoing(peer *outgoing) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.outgoing[peer.address] == peer {
		delete(t.outgoing, peer.address)
	}
}

// accept serves each peer that connects, until the listener is closed.
func (t *Transport) accept() {
	for {
		connection, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go t.serve(connection)
	}
}
