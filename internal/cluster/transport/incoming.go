package transport

import (
	"net"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// countingReader counts the bytes read from a connection.
type countingReader struct {
	connection net.Conn
	counts     *Counts
}

// Read implements io.Reader.
func (r countingReader) Read(buffer []byte) (int, error) {
	count, err := r.connection.Read(buffer)
	r.counts.BytesReceived.Add(int64(count))
	return count, err
}

// serve reads the requests of one peer. The first frame must be a Hello of the
// same protocol version.
func (t *Transport) serve(connection net.Conn) {
	t.mutex.Lock()
	if t.closed {
		t.mutex.Unlock()
		connection.Close()
		return
	}
	t.incoming[connection] = true
	t.mutex.Unlock()
	defer func() {
		connection.Close()
		t.mutex.Lock()
		delete(t.incoming, connection)
		t.mutex.Unlock()
	}()
	reader := countingReader{connection: connection, counts: &t.counts}
	replies := &replyWriter{connection: connection, counts: &t.counts, traffic: t.config.Traffic}
	frame, err := wire.Read(reader)
	if err != nil {
		return
	}
	hello, isHello := frame.Message.(*wire.Hello)
	if !isHello || hello.Protocol != wire.ProtocolVersion {
		replies.write(frame.Correlation, &wire.Failure{Code: uint16(wire.CodeProtocol), Detail: "expected a Hello of the same protocol version"})
		return
	}
	for {
		frame, err := wire.Read(reader)
		if err != nil {
			return
		}
		t.config.Traffic.count(frame.Message, directionIn, frame.Bytes)
		t.handle(hello.Address, frame, replies)
	}
}

func (t *Transport) handle(from string, frame wire.Frame, replies *replyWriter) {
	arrived := time.Now()
	t.config.Post(func() {
		if frame.Timeout != 0 && time.Since(arrived) > frame.Timeout {
			return
		}
		t.config.Handler(from, frame.Message, func(message wire.Message) {
			if frame.Correlation != 0 {
				replies.write(frame.Correlation, message)
			}
		})
	})
}

// replyWriter writes replies from any goroutine. A peer that does not read is
// cut off rather than waited for.
type replyWriter struct {
	connection net.Conn
	counts     *Counts
	traffic    *Traffic
	mutex      sync.Mutex
}

func (w *replyWriter) write(correlation uint64, message wire.Message) {
	encoded, err := wire.Encode(wire.Frame{Correlation: correlation, Reply: true, Message: message})
	if err != nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	written, err := w.connection.Write(encoded)
	w.counts.BytesSent.Add(int64(written))
	w.counts.FramesSent.Add(1)
	w.traffic.count(message, directionOut, written)
	if err != nil {
		w.connection.Close()
	}
}
