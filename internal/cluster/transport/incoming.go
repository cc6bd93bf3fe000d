package transport

import (
	"net"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// serve handles the messages of one peer until its connection ends. The first frame must be
// a Hello of the same protocol version.
func (t *Transport) serve(connection net.Conn) {
	defer connection.Close()
	if !t.addIncoming(connection) {
		return
	}
	defer t.removeIncoming(connection)
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
		t.dispatch(hello.Address, frame, replies)
	}
}

// addIncoming records a peer's connection, unless the transport is closed.
func (t *Transport) addIncoming(connection net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.incoming[connection] = true
	return true
}

func (t *Transport) removeIncoming(connection net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.incoming, connection)
}

// dispatch passes a message to the handler, unless the request's timeout has passed by
// then.
func (t *Transport) dispatch(from string, frame wire.Frame, replies *replyWriter) {
	receivedAt := time.Now()
	t.config.Post(func() {
		if frame.Timeout != 0 && time.Since(receivedAt) > frame.Timeout {
			return
		}
		t.config.Handler(from, frame.Message, func(message wire.Message) {
			if frame.Correlation != 0 {
				replies.write(frame.Correlation, message)
			}
		})
	})
}
