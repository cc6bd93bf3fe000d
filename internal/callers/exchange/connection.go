package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// connection is a persistent connection to a replica.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	limiter *headLimiter
	writer  *bufio.Writer
	// idleUntil is the time from which the peer may close the idle connection, idleSince
	// the time at which the connection last became idle.
	idleUntil time.Time
	idleSince time.Time
	// requests is the number of requests that were sent.
	requests int
}

func newConnection(address string, raw net.Conn) *connection {
	limiter := &headLimiter{source: raw}
	return &connection{
		Conn: raw, address: address, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), writer: bufio.NewWriterSize(raw, writeBufferBytes),
	}
}

// checkIdle returns an error if an idle connection must not be reused. If the socket is
// readable, either the peer sent unsolicited data or it closed the connection.
func (c *connection) checkIdle() error {
	if c.reader.Buffered() > 0 {
		return ErrUnsolicitedData
	}
	if !c.idleUntil.IsZero() && time.Now().After(c.idleUntil) {
		return ErrClosedByPeer
	}
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var idleErr error
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		n, readErr := syscall.Read(int(descriptor), buffer[:])
		switch {
		case n > 0:
			idleErr = ErrUnsolicitedData
		case n == 0 && readErr == nil:
			idleErr = ErrClosedByPeer
		case readErr != syscall.EAGAIN && readErr != syscall.EINTR:
			idleErr = readErr
		}
		return true
	})
	if idleErr != nil {
		return idleErr
	}
	return err
}
