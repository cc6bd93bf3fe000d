package transport

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// queueLength bounds the frames waiting for one peer: some seconds of
	// heartbeats. The queue takes 24 bytes a frame for each connected peer.
	queueLength = 128
	dialTimeout = time.Second
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 5 * time.Second
	// idleTimeout ends a connection on which nothing was sent for long.
	// Most connections carry the start and the end of a batch job, some seconds
	// apart, and nothing else.
	idleTimeout = 15 * time.Second
	// redialPause is how long one-way messages to a peer that could not be
	// connected to are dropped at once. A request always tries anew.
	redialPause = 400 * time.Millisecond
)

// Handler answers a message from the peer that listens at an address. It runs
// on the goroutine of the node's duties; reply may be called at most once.
type Handler func(from string, message wire.Message, reply func(wire.Message))

// Config is what a Transport needs.
type Config struct {
	Hello wire.Hello
	// Post runs a call on the goroutine of the node's duties.
	Post    func(func())
	Handler Handler
	// Traffic counts messages by kind; nil for none.
	Traffic *Traffic
}

// Counts are the totals of one transport.
type Counts struct {
	FramesSent    atomic.Int64
	FramesDropped atomic.Int64
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
}

// Transport implements environment.Peers over TCP.
type Transport struct {
	config   Config
	listener net.Listener
	mutex    sync.Mutex
	outgoing map[string]*outgoing
	incoming map[net.Conn]bool
	closed   bool
	counts   Counts
	// unreachable is when a connection to an address failed last.
	unreachable map[string]time.Time
}

// Listen starts to accept peers.
func Listen(listener net.Listener, config Config) *Transport {
	transport := &Transport{config: config, listener: listener, outgoing: map[string]*outgoing{}, incoming: map[net.Conn]bool{}, unreachable: map[string]time.Time{}}
	go transport.accept()
	return transport
}

// Counts returns the totals.
func (t *Transport) Counts() *Counts { return &t.counts }

// Close ends all connections.
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
		if peer := t.peer(address, false); peer != nil && peer.enqueue(encoded) {
			t.config.Traffic.count(message, directionOut, len(encoded))
		}
	}
}

// Call implements environment.Peers.
func (t *Transport) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	peer := t.peer(address, true)
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

func (t *Transport) peer(address string, redial bool) *outgoing {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil
	}
	peer := t.outgoing[address]
	if peer == nil && !redial && time.Since(t.unreachable[address]) < redialPause {
		return nil
	}
	if peer == nil {
		peer = newOutgoing(t, address)
		t.outgoing[address] = peer
		go peer.run()
	}
	return peer
}

func (t *Transport) noteUnreachable(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unreachable[address] = time.Now()
}

func (t *Transport) forget(peer *outgoing) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.outgoing[peer.address] == peer {
		delete(t.outgoing, peer.address)
	}
}

func (t *Transport) accept() {
	for {
		connection, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go t.serve(connection)
	}
}
