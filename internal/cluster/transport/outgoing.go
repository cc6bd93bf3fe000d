package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// outgoing is the connection to one peer: requests go out on it and their
// replies come back on it.
type outgoing struct {
	transport *Transport
	address   string
	queue     chan []byte
	stop      chan struct{}
	stopOnce  sync.Once
	mutex     sync.Mutex
	next      uint64
	pending   map[uint64]*pendingCall
	broken    bool
	opened    time.Time
	// heard is when the peer sent something last, as a span since opened.
	heard atomic.Int64
}

// pendingCall is a request without its reply.
type pendingCall struct {
	done  func(wire.Message, error)
	timer *time.Timer
}

func newOutgoing(transport *Transport, address string) *outgoing {
	return &outgoing{
		transport: transport,
		address:   address,
		queue:     make(chan []byte, queueLength),
		stop:      make(chan struct{}),
		pending:   map[uint64]*pendingCall{},
		opened:    time.Now(),
	}
}

func (o *outgoing) enqueue(frame []byte) bool {
	select {
	case o.queue <- frame:
		return true
	default:
		o.transport.counts.FramesDropped.Add(1)
		return false
	}
}

func (o *outgoing) register(timeout time.Duration, done func(wire.Message, error)) uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.next++
	correlation := o.next
	call := &pendingCall{done: done}
	call.timer = time.AfterFunc(timeout, func() {
		if o.silent(timeout) {
			// A cut link says nothing: a new connection finds out sooner than
			// this one would.
			o.close()
		}
		o.finish(correlation, nil, merry.Wrap(environment.ErrPeerUnreachable))
	})
	o.pending[correlation] = call
	if o.broken {
		call.timer.Reset(0)
	}
	return correlation
}

// finish ends a request once; a reply that comes after its time is dropped.
func (o *outgoing) finish(correlation uint64, message wire.Message, err error) {
	o.mutex.Lock()
	call := o.pending[correlation]
	delete(o.pending, correlation)
	o.mutex.Unlock()
	if call == nil {
		return
	}
	call.timer.Stop()
	o.transport.config.Post(func() { call.done(message, err) })
}

// silent tells whether nothing has come from the peer for a time.
func (o *outgoing) silent(span time.Duration) bool {
	return time.Since(o.opened) > span && time.Since(o.opened)-time.Duration(o.heard.Load()) > span
}

func (o *outgoing) close() { o.stopOnce.Do(func() { close(o.stop) }) }

// run connects, writes what is queued, and ends the connection with an error
// to every open request when it breaks. A later message connects anew.
func (o *outgoing) run() {
	defer o.fail()
	connection, err := net.DialTimeout("tcp", o.address, dialTimeout)
	if err != nil {
		o.transport.noteUnreachable(o.address)
		return
	}
	defer connection.Close()
	if !o.write(connection, o.helloFrame()) {
		return
	}
	go o.read(connection)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case frame := <-o.queue:
			if !o.write(connection, frame) {
				return
			}
			idle.Reset(idleTimeout)
		case <-idle.C:
			return
		case <-o.stop:
			return
		}
	}
}

func (o *outgoing) helloFrame() []byte {
	hello := o.transport.config.Hello
	encoded, err := wire.Encode(wire.Frame{Message: &hello})
	if err != nil {
		return nil
	}
	return encoded
}

func (o *outgoing) write(connection net.Conn, frame []byte) bool {
	connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	written, err := connection.Write(frame)
	o.transport.counts.BytesSent.Add(int64(written))
	o.transport.counts.FramesSent.Add(1)
	return err == nil
}

func (o *outgoing) read(connection net.Conn) {
	defer o.close()
	reader := countingReader{connection: connection, counts: &o.transport.counts}
	for {
		frame, err := wire.Read(reader)
		if err != nil {
			return
		}
		o.heard.Store(int64(time.Since(o.opened)))
		o.transport.config.Traffic.count(frame.Message, directionIn, frame.Bytes)
		if failure, failed := frame.Message.(*wire.Failure); failed {
			o.finish(frame.Correlation, nil, &wire.RemoteError{Code: wire.FailureCode(failure.Code), Detail: failure.Detail})
			continue
		}
		o.finish(frame.Correlation, frame.Message, nil)
	}
}

// fail ends every open request.
func (o *outgoing) fail() {
	o.transport.forget(o)
	o.mutex.Lock()
	o.broken = true
	open := make([]uint64, 0, len(o.pending))
	for correlation := range o.pending {
		open = append(open, correlation)
	}
	o.mutex.Unlock()
	for _, correlation := range open {
		o.finish(correlation, nil, merry.Wrap(environment.ErrPeerUnreachable))
	}
}
