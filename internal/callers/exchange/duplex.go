package exchange

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// duplexConn is a connection that is written and read at the same time. A reader gets the error of a lost
// connection even if a write got it first.
//
// The kernel reports a reset only once. After a write has got the error, a read finds the end of the
// stream, so that a response that ends with its connection looks complete.
type duplexConn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// lost is the error with which a write reported the loss of the connection, nil if none did. It
	// is guarded by writing.
	lost error
}

// Write implements net.Conn.
func (c *duplexConn) Write(buffer []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(buffer)
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the peer ended its side in order. A write in
// progress is then canceled, since the response no longer depends on it.
func (c *duplexConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if lost := c.loss(); lost != nil {
		return n, lost
	}
	return n, err
}

// loss returns the error with which a write reported the loss of the connection, or nil. It ends a
// write in progress, which may have got the error but not returned yet.
func (c *duplexConn) loss() error {
	if err := c.Conn.SetWriteDeadline(time.Unix(0, 0)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.lost
}

// isLoss reports whether the error of a write says that the connection was lost. EPIPE does not: it
// follows an end in order, or an error that the reader has got.
func isLoss(err error) bool {
	var cause syscall.Errno
	return errors.As(err, &cause) && cause != syscall.EPIPE
}
