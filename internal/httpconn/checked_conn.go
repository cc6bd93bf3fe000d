package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
)

// maxHeadBytes limits the heads of the responses to one request, informational ones included.
const maxHeadBytes = 64 << 10

// checkedConn is a connection on which each head passes ReadHead before it is read. A request must be
// written completely before its response is read, and no request may have the method HEAD.
type checkedConn struct {
	net.Conn
	// headDue is set while the head of a response has not been checked.
	headDue bool
	// received are bytes that have been received and not been read. If invalid is not nil, it is
	// returned after them.
	received []byte
	invalid  error
}

// Write implements net.Conn.
func (c *checkedConn) Write(buffer []byte) (int, error) {
	c.headDue = true
	return c.Conn.Write(buffer)
}

// Read implements net.Conn. It returns the error of ReadHead for an invalid head.
func (c *checkedConn) Read(buffer []byte) (int, error) {
	if c.headDue {
		c.headDue = false
		if err := c.checkHead(); err != nil {
			return 0, err
		}
	}
	if len(c.received) == 0 && c.invalid != nil {
		return 0, c.invalid
	}
	return c.next(buffer)
}

// next reads the bytes that have been received, then those of the connection.
func (c *checkedConn) next(buffer []byte) (int, error) {
	if len(c.received) > 0 {
		n := copy(buffer, c.received)
		if c.received = c.received[n:]; len(c.received) == 0 {
			c.received = nil
		}
		return n, nil
	}
	return c.Conn.Read(buffer)
}

// checkHead receives a head and checks it. It returns an error if nothing was received. Otherwise only
// the first byte of an invalid head is kept: fasthttp reports the error of a read that returned nothing
// of a response as an idle connection that the server has closed.
func (c *checkedConn) checkHead() error {
	var head bytes.Buffer
	source := io.TeeReader(io.LimitReader(readerFunc(c.next), maxHeadBytes), &head)
	_, err := ReadHead(bufio.NewReader(source), http.MethodGet)
	if head.Len() == 0 {
		return endOfNothing(err)
	}
	c.received = append(head.Bytes(), c.received...)
	if err != nil {
		c.received, c.invalid = c.received[:1], err
	}
	return nil
}

// endOfNothing returns the error of a connection that has ended before a response.
func endOfNothing(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return err
}
