package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Response is a replica's response with the metadata from its headers. It must be closed or
// discarded.
type Response struct {
	*exchange.Response
	Metadata ResponseMetadata
	Endpoint *routing.Endpoint
	closed   bool
	// ctx is the context of the attempt.
	ctx context.Context
	// attempt is the attempt whose outcome is reported to the guard. It is nil until the
	// response has passed check, and again once the outcome has been reported.
	attempt *Attempt
}

// Read reads from the body and reports the outcome of the attempt to the guard. It does not
// report the end of a body without framing, which may be truncated, nor an error after the
// context of the attempt has ended.
func (r *Response) Read(buffer []byte) (int, error) {
	n, err := r.Response.Read(buffer)
	if r.attempt == nil {
		return n, err
	}
	if n > 0 {
		r.attempt.BodyReceived = true
	}
	switch {
	case errors.Is(err, io.EOF):
		if r.Framed {
			r.attempt.reportResponse(r.Status)
		}
		r.attempt = nil
	case err != nil:
		if r.ctx.Err() == nil {
			r.attempt.reportError(err)
		}
		r.attempt = nil
	}
	return n, err
}

// Close closes the response. Its connection is kept for reuse if the body was read
// completely.
func (r *Response) Close() {
	r.release()
	r.Response.Close()
}

// Discard closes the response and its connection.
func (r *Response) Discard() {
	r.release()
	r.Response.Discard()
}

// release decrements the endpoint's number of requests in flight, once.
func (r *Response) release() {
	if !r.closed {
		r.closed = true
		r.Endpoint.State.InFlight.Add(-1)
	}
}

// check validates the head of the response. It returns an *exchange.BrokenError if the
// response belongs to another request or is a success without a signature, and a
// *NotRunError if the replica states that it did not run the request. After an error the
// response is closed.
func (r *Response) check(call *Call) error {
	if r.Metadata.RequestID != call.ID {
		r.Endpoint.State.Failures.Add(1)
		r.Discard()
		return &exchange.BrokenError{Address: r.Endpoint.Address, Cause: ErrResponseMismatch}
	}
	if r.Metadata.NotRun {
		r.drain()
		return &NotRunError{Replica: r.Endpoint.Name, Status: r.Status, AddressReassigned: r.Metadata.AddressReassigned}
	}
	if r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && !r.Metadata.Signed {
		r.Endpoint.State.Failures.Add(1)
		r.Discard()
		return &exchange.BrokenError{Address: r.Endpoint.Address, Cause: ErrUnsigned}
	}
	return nil
}

// maxDrainBytes is the maximum number of bytes of a body read to reuse its connection.
const maxDrainBytes = 2 << 10

// drain reads a short body, so that its connection can be reused, and closes the response.
func (r *Response) drain() {
	buffer := make([]byte, maxDrainBytes)
	for read := 0; read < maxDrainBytes; {
		n, err := r.Read(buffer)
		read += n
		if err != nil {
			break
		}
	}
	r.Close()
}
