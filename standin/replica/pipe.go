package replica

import (
	"context"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrNoListener means that a Network has no listener at an address.
var ErrNoListener = merry.Sentinel("no listener at the address")

// Network connects replicas and their clients in memory, so that both run on the virtual clock
// of a test. It is safe for concurrent use.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
}

// NewNetwork returns an empty network.
func NewNetwork() *Network { return &Network{listeners: map[string]*pipeListener{}} }

// Listen opens a listener. The address may be any string.
func (n *Network) Listen(address string) net.Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	listener := &pipeListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

// Dial connects to the listener at an address.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mutex.Lock()
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener == nil {
		return nil, ErrNoListener
	}
	client, server := net.Pipe()
	select {
	case listener.accepted <- server:
		return client, nil
	case <-listener.closed:
		return nil, ErrNoListener
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener is an in-memory net.Listener.
type pipeListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return pipeAddress(l.address) }

type pipeAddress string

// Network implements net.Addr.
func (pipeAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a pipeAddress) String() string { return string(a) }
