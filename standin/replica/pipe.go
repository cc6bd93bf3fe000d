package replica

import (
	"context"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrNoListener means that nobody listens at an address in memory.
var ErrNoListener = merry.Sentinel("nobody listens at the address")

// Network is a set of listeners in memory, so that replicas and those who call
// them run on the virtual clock of a test. It is safe for use by many
// goroutines.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: map[string]*pipeListener{}} }

// Listen opens a listener at an address, any text.
func (n *Network) Listen(address string) net.Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	listener := &pipeListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

// Dial opens a connection to a listener.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mutex.Lock()
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener == nil {
		return nil, ErrNoListener
	}
	near, far := net.Pipe()
	select {
	case listener.accepted <- far:
		return near, nil
	case <-listener.closed:
		return nil, ErrNoListener
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener implements net.Listener in memory.
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
