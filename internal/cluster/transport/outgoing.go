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

// outgoing is the connection to one peer. It sends requests and one-way messages, and
// receives the replies to the requests.
type outgoing struct {
	transport       *Transport
	address         string
	queue           chan []byte
	stop            chan struct{}
	stopOnce        sync.Once
	mutex           sync.Mutex
	lastCorrelation uint64
	pending         map[uint64]*pendingCall
	broken          bool
	openedAt        time.Time
	// lastReceived is when the peer last sent a frame, in nanoseconds since openedAt.
	lastReceived atomic.Int64
}

// pendingCall is a request without a reply.
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
		openedAt:  time.Now(),
	}
}

// enqueue queues a frame. If the queue is full, it drops the frame and returns false.
func (o *outgoing) enqueue(frame []byte) bool {
	select {
	case o.queue <- frame:
		return true
	default:
		o.transport.counts.FramesDropped.Add(1)
		return false
	}
}

// register adds a request and returns its correlation id. Done is called once, at the
// latest after the timeout.
func (o *outgoing) register(timeout time.Duration, done func(wire.Message, error)) uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lastCorrelation++
	correlation := o.lastCorrelation
	call := &pendingCall{done: done}
	call.timer = time.AfterFunc(timeout, func() {
		if o.isSilentFor(timeout) {
			// A lost link gives no error. A new connection detects it sooner.
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

// finish ends a request with a reply or an error. A reply to a request that has ended is
// dropped.
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

// isSilentFor reports whether nothing was received from the peer for the given time.
func (o *outgoing) isSilentFor(duration time.Duration) bool {
	return time.Since(o.openedAt) > duration && time.Since(o.openedAt)-time.Duration(o.lastReceived.Load()) > duration
}

// close ends the connection.
func (o *outgoing) close() { o.stopOnce.Do(func() { close(o.stop) }) }

// run connects and writes the queued frames until the connection breaks or is idle. It then
// fails all pending requests. A later message opens a new connection.
func (o *outgoing) run() {
	defer o.failPending()
	connection, err := net.DialTimeout("tcp", o.address, dialTimeout)
	if err != nil {
		o.transport.recordUnreachable(o.address)
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

// helloFrame returns the first frame of the connection.
func (o *outgoing) helloFrame() []byte {
	hello := o.transport.config.Hello
	encoded, err := wire.Encode(wire.Frame{Message: &hello})
	if err != nil {
		return nil
	}
	return encoded
}

// write writes a frame and reports whether that succeeded.
func (o *outgoing) write(connection net.Conn, frame []byte) bool {
	connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	written, err := connection.Write(frame)
	o.transport.counts.BytesSent.Add(int64(written))
	o.transport.counts.FramesSent.Add(1)
	return err == nil
}

// read receives replies and ends their requests, until the connection breaks.
func (o *outgoing) read(connection net.Conn) {
	defer o.close()
	reader := countingReader{connection: connection, counts: &o.transport.counts}
	for {
		frame, err := wire.Read(reader)
		if err != nil {
			return
		}
		o.lastReceived.Store(int64(time.Since(o.openedAt)))
		o.transport.config.Traffic.count(frame.Message, directionIn, frame.Bytes)
		if failure, failed := frame.Message.(*wire.Failure); failed {
			o.finish(frame.Correlation, nil, &wire.RemoteError{Code: wire.FailureCode(failure.Code), Detail: failure.Detail})
			continue
		}
		o.finish(frame.Correlation, frame.Message, nil)
	}
}

// failPending ends every pending request with environment.ErrPeerUnreachable.
func (o *outgoing) failPending() {
	o.transport.removeOutgoing(o)
	o.mutex.Lock()
	o.broken = true
	correlations := make([]uint64, 0, len(o.pending))
	for correlation := range o.pending {
		correlations = append(correlations, correlation)
	}
	o.mutex.Unlock()
	for _, correlation := range correlations {
		o.finish(correlation, nil, merry.Wrap(environment.ErrPeerUnreachable))
	}
}
