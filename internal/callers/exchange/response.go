package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/pathtally/pathtally/internal/httpconn"
)

// maxInlineBodyBytes is the size up to which a request body is written before the response is
// read. A larger body is written concurrently, since a replica may respond before it has read
// the whole body.
const maxInlineBodyBytes = 32 << 10

// Response is a response whose body has not been read yet. It must be closed or discarded.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Framed is set if the body has a Content-Length or a transfer encoding. Otherwise the
	// body ends when the connection is closed, so that truncation cannot be detected.
	Framed bool

	body io.ReadCloser
	// closeAfter is set if the peer closes the connection after the response.
	closeAfter bool
	// complete is set once the complete body has been read.
	complete   bool
	pool       *Pool
	connection *connection
	// detach detaches the connection from ctx. It returns false if the connection has
	// already been closed because ctx ended.
	detach func() bool
	ctx    context.Context
	// writeResult receives the result of writing a request body concurrently. It is nil if the
	// body was written before the response was read.
	writeResult chan error
	closed      bool
}

// LocalAddress returns the local address of the connection, which identifies it in logs.
func (r *Response) LocalAddress() string { return r.connection.LocalAddr().String() }

// RequestNumber returns the number of requests that were sent on the connection, including this
// one.
func (r *Response) RequestNumber() int { return r.connection.requests }

// roundTrip writes a request and reads the head of the response.
func (c *connection) roundTrip(request *Request) (*Response, error) {
	c.record(request)
	writeResult, err := c.write(request)
	if err != nil {
		return nil, err
	}
	response, err := readHead(c, request.Method)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, body: response.Body, closeAfter: response.Close,
		Framed: response.ContentLength >= 0 || len(response.TransferEncoding) > 0, writeResult: writeResult,
	}, nil
}

// write writes a request. A body larger than maxInlineBodyBytes is written by another
// goroutine, which sends its result to the returned channel; otherwise the channel is nil.
func (c *connection) write(request *Request) (chan error, error) {
	if err := request.writeHead(c.writer); err != nil {
		return nil, err
	}
	if len(request.Body) <= maxInlineBodyBytes {
		c.writer.Write(request.Body)
		return nil, c.writer.Flush()
	}
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	writeResult := make(chan error, 1)
	go func() {
		_, err := c.Conn.Write(request.Body)
		writeResult <- err
	}()
	return writeResult, nil
}

// readHead reads the head of the response. It returns ErrHeadTooLarge if the heads of this and of
// informational responses exceed maxHeadBytes.
func readHead(c *connection, method string) (*http.Response, error) {
	c.limiter.beginHead()
	defer c.limiter.endHead()
	return httpconn.ReadHead(c.reader, method)
}

// Read reads from the body. It returns io.EOF at the end of the body, and a *BrokenError if
// the connection fails or a framed body is truncated.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		if r.ctx.Err() != nil {
			err = context.Cause(r.ctx)
		}
		err = &BrokenError{Address: r.connection.address, Cause: err}
	}
	return n, err
}

// Close closes the response. Its connection becomes idle if it is reusable and is closed
// otherwise.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	canceled := !r.detach()
	if canceled || !r.reusable() {
		r.pool.discard(r.connection)
		return
	}
	r.pool.putIdle(r.connection, r.Header)
}

// reusable reports whether the connection may carry another request: the request was written
// and the framed response read completely, the peer keeps the connection open, and no
// unsolicited data arrived on it.
func (r *Response) reusable() bool {
	return r.complete && r.Framed && !r.closeAfter && r.requestWritten() && r.connection.reader.Buffered() == 0 && !r.connection.carried.full()
}

// Discard closes the response and its connection.
func (r *Response) Discard() {
	r.complete = false
	r.Close()
}

// requestWritten reports whether the complete request has been written.
func (r *Response) requestWritten() bool {
	if r.writeResult == nil {
		return true
	}
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}
