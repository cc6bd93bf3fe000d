package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// maxInlineBodyBytes is the size up to which a body is written before the answer is read. A
// longer one is written meanwhile, since a replica may answer before it has read all.
const maxInlineBodyBytes = 32 << 10

// Response is an answer whose body is still to be read. It must be closed or discarded.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 when the answer names none.
	Length int64
	// Framed is false if only the end of the connection ends the body, so that a body cut
	// off looks whole.
	Framed bool

	body io.ReadCloser
	// peerCloses is set if the peer closes the connection after the answer.
	peerCloses bool
	whole      bool
	pool       *Pool
	connection *connection
	stop       func() bool
	ctx        context.Context
	// written gets the result of a body that is written beside the reading; nil if it was
	// written before.
	written  chan error
	finished bool
}

// roundTrip writes a request and reads the head of its answer.
func (c *connection) roundTrip(request *Request) (*Response, error) {
	written, err := c.write(request)
	if err != nil {
		return nil, err
	}
	answer, err := readHead(c, request.Method)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, body: answer.Body, peerCloses: answer.Close,
		Framed: answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0, written: written,
	}, nil
}

// write writes a request. A body over maxInlineBodyBytes is written by another goroutine,
// whose result comes through the channel; else the channel is nil.
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
	written := make(chan error, 1)
	go func() {
		_, err := c.Conn.Write(request.Body)
		written <- err
	}()
	return written, nil
}

// readHead reads the answer's head, past any interim answers.
func readHead(c *connection, method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK || answer.StatusCode == http.StatusSwitchingProtocols {
			return answer, nil
		}
	}
}

// Read implements io.Reader over the body. It returns io.EOF only at the end
// of a whole body; every other end is a *BrokenError.
func (r *Response) Read(buffer []byte) (int, error) {
	count, err := r.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		r.whole = true
		return count, io.EOF
	}
	if err != nil {
		if r.ctx.Err() != nil {
			err = r.ctx.Err()
		}
		err = &BrokenError{Address: r.connection.address, Cause: err}
	}
	return count, err
}

// Close ends the exchange. Its connection is kept for further requests if it is reusable,
// else closed.
func (r *Response) Close() {
	if r.finished {
		return
	}
	r.finished = true
	cancelled := !r.stop()
	if cancelled || !r.reusable() {
		r.pool.discard(r.connection)
		return
	}
	r.pool.keep(r.connection, r.Header)
}

// reusable returns whether the connection may carry another request: the request was written
// and the answer read whole, the peer keeps the connection, and nothing more came on it.
func (r *Response) reusable() bool {
	return r.whole && r.Framed && !r.peerCloses && r.requestWritten() && r.connection.reader.Buffered() == 0
}

// Discard ends the exchange and closes the connection.
func (r *Response) Discard() {
	r.whole = false
	r.Close()
}

// requestWritten returns whether the whole request was written.
func (r *Response) requestWritten() bool {
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}
