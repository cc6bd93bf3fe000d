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

// connection is one kept connection to a replica.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// restUntil is when the peer may close the connection while it rests.
	restUntil time.Time
	rested    time.Time
}

func newConnection(address string, raw net.Conn) *connection {
	return &connection{
		Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes), writer: bufio.NewWriterSize(raw, writeBufferBytes),
	}
}

// sound tells why a connection that rested must not be used, or nil. Anything
// readable on it is an answer that nobody waits for, or its end.
func (c *connection) sound() error {
	if c.reader.Buffered() > 0 {
		return ErrSurplus
	}
	if !c.restUntil.IsZero() && time.Now().After(c.restUntil) {
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
	var finding error
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		count, readErr := syscall.Read(int(descriptor), one[:])
		switch {
		case count > 0:
			finding = ErrSurplus
		case count == 0 && readErr == nil:
			finding = ErrClosedByPeer
		case readErr != syscall.EAGAIN && readErr != syscall.EINTR:
			finding = readErr
		}
		return true
	})
	if finding != nil {
		return finding
	}
	return err
}
