package transport

import (
	"net"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// incoming is the connection of a peer. The mutex of the transport guards it.
type incoming struct {
	openedAt time.Time
	// identified is set once the peer has sent a Hello.
	identified bool
}

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
	hello := t.readHello(connection, reader, replies)
	if hello == nil {
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

// readHello reads the first frame of a connection, and returns nil if it is not a Hello of the same
// protocol version.
func (t *Transport) readHello(connection net.Conn, reader countingReader, replies *replyWriter) *wire.Hello {
	if err := connection.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil
	}
	frame, err := wire.ReadAtMost(reader, maxHelloBytes)
	if err != nil {
		return nil
	}
	hello, isHello := frame.Message.(*wire.Hello)
	if !isHello || hello.Protocol != wire.ProtocolVersion {
		replies.write(frame.Correlation, &wire.Failure{Code: uint16(wire.CodeProtocol), Detail: "expected a Hello of the same protocol version"})
		return nil
	}
	if err := connection.SetReadDeadline(time.Time{}); err != nil {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if peer := t.incoming[connection]; peer != nil {
		peer.identified = true
	}
	return hello
}

// addIncoming records a peer's connection, unless the transport is closed. At the limit it closes the
// connection that has waited for longest for a Hello, or else refuses the new one.
func (t *Transport) addIncoming(connection net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	if t.config.MaxIncoming > 0 && len(t.incoming) >= t.config.MaxIncoming {
		silent := t.longestSilent()
		if silent == nil {
			return false
		}
		silent.Close()
		delete(t.incoming, silent)
	}
	t.incoming[connection] = &incoming{openedAt: time.Now()}
	return true
}

// longestSilent returns the connection that has waited for longest for a Hello, or nil. The mutex
// must be held.
func (t *Transport) longestSilent() net.Conn {
	var longest net.Conn
	var since time.Time
	for connection, peer := range t.incoming {
		if !peer.identified && (longest == nil || peer.openedAt.Before(since)) {
			longest, since = connection, peer.openedAt
		}
	}
	return longest
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
