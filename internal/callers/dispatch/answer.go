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
	ended    bool
	// ctx is the context of the attempt.
	ctx context.Context
	// run is the attempt whose outcome is reported to the guard. It is nil until the
	// response has passed check, and again once the outcome has been reported.
	run *Attempt
}

// Read reads from the body and reports the outcome of the attempt to the guard. It does not
// report the end of a body without framing, which may be truncated, nor an error after the
// context of the attempt has ended.
func (a *Response) Read(buffer []byte) (int, error) {
	count, err := a.Response.Read(buffer)
	if a.run == nil {
		return count, err
	}
	if count > 0 {
		a.run.BodyReceived = true
	}
	switch {
	case errors.Is(err, io.EOF):
		if a.Framed {
			a.run.reportServed(a.Status)
		}
		a.run = nil
	case err != nil:
		if a.ctx.Err() == nil {
			a.run.reportError(err)
		}
		a.run = nil
	}
	return count, err
}

// Close closes the response. Its connection is kept for reuse if the body was read
// completely.
func (a *Response) Close() {
	a.end()
	a.Response.Close()
}

// Discard closes the response and its connection.
func (a *Response) Discard() {
	a.end()
	a.Response.Discard()
}

// end decrements the endpoint's number of requests in flight, once.
func (a *Response) end() {
	if !a.ended {
		a.ended = true
		a.Endpoint.State.InFlight.Add(-1)
	}
}

// check validates the head of the response. It returns an *exchange.BrokenError if the
// response belongs to another request or is a success without a signature, and a
// *NotRunError if the replica states that it did not run the request. After an error the
// response is closed.
func (a *Response) check(call *Call) error {
	if a.Metadata.RequestID != call.ID {
		a.Endpoint.State.Failures.Add(1)
		a.Discard()
		return &exchange.BrokenError{Address: a.Endpoint.Address, Cause: ErrResponseMismatch}
	}
	if a.Metadata.NotRun {
		a.drain()
		return &NotRunError{Replica: a.Endpoint.Name, Status: a.Status, AddressReassigned: a.Metadata.AddressReassigned}
	}
	if a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices && !a.Metadata.Signed {
		a.Endpoint.State.Failures.Add(1)
		a.Discard()
		return &exchange.BrokenError{Address: a.Endpoint.Address, Cause: ErrUnsigned}
	}
	return nil
}

// maxDrainBytes is the maximum number of bytes of a body read to reuse its connection.
const maxDrainBytes = 2 << 10

// drain reads a short body, so that its connection can be reused, and closes the response.
func (a *Response) drain() {
	buffer := make([]byte, maxDrainBytes)
	for read := 0; read < maxDrainBytes; {
		count, err := a.Read(buffer)
		read += count
		if err != nil {
			break
		}
	}
	a.Close()
}
