package gateway

import (
	"net"
	"time"
)

// deadlineListener sets a write deadline for each write of its connections, so
// that a caller that stops reading cannot block a worker indefinitely. The
// duration of a stream as a whole is not limited.
type deadlineListener struct{ net.Listener }

// Accept implements net.Listener.
func (l deadlineListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return deadlineConnection{Conn: connection}, nil
}

type deadlineConnection struct{ net.Conn }

// Write implements net.Conn.
func (c deadlineConnection) Write(data []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
