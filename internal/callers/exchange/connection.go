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
	// socket is what Conn reads from and writes to.
	socket  net.Conn
	address string
	reader  *bufio.Reader
	limiter *headLimiter
	writer  *bufio.Writer
	// idleUntil is the time from which the peer may close the idle connection, idleSince
	// the time at which the connection last became idle.
	idleUntil time.Time
	idleSince time.Time
	// requests is the number of requests that were sent, carried their identities.
	requests int
	carried  identities
	// carriedUnidentified is set once a request without identity was sent.
	carriedUnidentified bool
}

func newConnection(address string, raw net.Conn) *connection {
	conn := &duplexConn{Conn: raw}
	limiter := &headLimiter{source: conn}
	return &connection{
		Conn: conn, socket: raw, address: address, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}
}

// record records a request that is about to be sent.
func (c *connection) record(request *Request) {
	c.requests++
	c.carried.add(request.Identity)
	c.carriedUnidentified = c.carriedUnidentified || request.Identity == ""
}

// mayCarry reports whether no late response to an earlier request on the connection can be taken for
// the response to this one. once means that the request must not run twice; otherwise a request
// without identity may get the response to an earlier one of its kind.
func (c *connection) mayCarry(request *Request, once bool) bool {
	if request.Identity == "" {
		return !once || !c.carriedUnidentified
	}
	return !c.carried.contains(request.Identity)
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
	socket, isSocket := c.socket.(syscall.Conn)
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
