package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// directBodyBytes is up to which size a body is written before the answer is
// read. A longer one is written beside the reading, since a replica may
// answer before it has read all.
const directBodyBytes = 32 << 10

// Response is an answer whose body has not been read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 when the answer names none.
	Length int64
	// Framed is false when only the end of the connection ends the body.
	Framed bool

	body       io.ReadCloser
	closing    bool
	whole      bool
	pool       *Pool
	connection *connection
	stop       func() bool
	ctx        context.Context
	written    chan error
	finished   bool
}

// roundTrip writes a request and reads the head of its answer.
func (c *connection) roundTrip(request *Request) (*Response, error) {
	if err := request.writeHead(c.writer); err != nil {
		return nil, err
	}
	var written chan error
	if len(request.Body) > directBodyBytes {
		if err := c.writer.Flush(); err != nil {
			return nil, err
		}
		written = make(chan error, 1)
		go func() {
			_, err := c.Conn.Write(request.Body)
			written <- err
		}()
	} else {
		c.writer.Write(request.Body)
		if err := c.writer.Flush(); err != nil {
			return nil, err
		}
	}
	answer, err := readHead(c, request.Method)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, body: answer.Body, closing: answer.Close,
		Framed: answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0, written: written,
	}, nil
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

// Close ends the exchange. The connection rests for further requests if the
// answer was read whole and the peer keeps it; otherwise it is closed.
func (r *Response) Close() {
	if r.finished {
		return
	}
	r.finished = true
	cancelled := !r.stop()
	if cancelled || !r.whole || r.closing || !r.Framed || !r.requestWritten() || r.connection.reader.Buffered() > 0 {
		r.pool.discard(r.connection)
		return
	}
	r.pool.rest(r.connection, r.Header)
}

// Discard ends the exchange and closes the connection.
func (r *Response) Discard() {
	r.whole = false
	r.Close()
}

// requestWritten tells whether the whole request went out. An answer that came
// before leaves the connection unusable.
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
