package intake

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/callers/bytebudget"
)

// Listener accepts the connections of callers within limits. It is safe for concurrent use.
type Listener struct {
	net.Listener
	// name is a label of the metrics.
	name    string
	limits  Limits
	metrics *Metrics
	heads   *bytebudget.Budget
	created time.Time

	mutex sync.Mutex
	// open is the number of open connections.
	open int
	// waiting are the connections that wait for a request or receive one, by the time since
	// which they do, the earliest first; served are the others.
	waiting *list.List
	served  map[*Connection]bool
}

// NewListener returns a listener that accepts the connections of another one. Metrics may be nil.
func NewListener(wrapped net.Listener, name string, limits Limits, metrics *Metrics) *Listener {
	listener := &Listener{
		Listener: wrapped, name: name, limits: limits, metrics: metrics, heads: bytebudget.New(limits.HeadMemoryBytes), created: time.Now(),
		waiting: list.New(), served: map[*Connection]bool{},
	}
	listener.heads.Relieve = listener.closeLongestHead
	return listener
}

// Accept implements net.Listener. At the limit it closes the connection that is the least likely to
// be of use, or the new one if all others are being served.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted := l.admit(raw); accepted != nil {
			return accepted, nil
		}
		raw.Close()
	}
}

// admit returns the connection for a new raw one, or nil if it is over the limit.
func (l *Listener) admit(raw net.Conn) *Connection {
	if l.isFull() && !l.closeLongest() {
		l.metrics.count(l.name, reasonConnections)
		return nil
	}
	accepted := &Connection{Conn: raw, listener: l, since: time.Now(), ended: make(chan struct{})}
	accepted.readsHead.Store(true)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open++
	accepted.element = l.waiting.PushBack(accepted)
	return accepted
}

func (l *Listener) isFull() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open >= l.limits.Connections
}

// remove forgets a connection that was closed.
func (l *Listener) remove(closed *Connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	closed.closed = true
	l.open--
	l.leaveWaiting(closed)
	delete(l.served, closed)
	l.releaseHead(closed)
}

// wait moves a connection to the end of the waiting ones. The mutex must be held.
func (l *Listener) wait(connection *Connection) {
	connection.since = time.Now()
	delete(l.served, connection)
	if connection.element != nil {
		l.waiting.MoveToBack(connection.element)
		return
	}
	connection.element = l.waiting.PushBack(connection)
}

// leaveWaiting removes a connection from the waiting ones. The mutex must be held.
func (l *Listener) leaveWaiting(connection *Connection) {
	if connection.element != nil {
		l.waiting.Remove(connection.element)
		connection.element = nil
	}
}

// releaseHead releases the memory of the head of a connection's request. The mutex must be held.
func (l *Listener) releaseHead(connection *Connection) {
	l.heads.Release(connection.headMemory)
	connection.headMemory = 0
}
