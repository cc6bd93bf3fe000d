package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Answer is a replica's answer with its verdict. It must be closed or discarded.
type Answer struct {
	*exchange.Response
	Verdict  Verdict
	Endpoint *routing.Endpoint
	ended    bool
	// ctx is that of the attempt.
	ctx context.Context
	// run is what the guard learns of; nil until the answer is known to belong to the
	// request, and again once the guard has learned the end.
	run *Run
}

// Read implements io.Reader over the body, and reports to the guard how the run ends. An
// end without framing is not reported, nor an error after the attempt's context ended.
func (a *Answer) Read(buffer []byte) (int, error) {
	count, err := a.Response.Read(buffer)
	if a.run == nil {
		return count, err
	}
	if count > 0 {
		a.run.Received = true
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

// Close ends the answer and keeps its connection if the body was read whole.
func (a *Answer) Close() {
	a.end()
	a.Response.Close()
}

// Discard ends the answer and closes its connection.
func (a *Answer) Discard() {
	a.end()
	a.Response.Discard()
}

// end takes the answer off the endpoint's open dispatches, once.
func (a *Answer) end() {
	if !a.ended {
		a.ended = true
		a.Endpoint.State.InFlight.Add(-1)
	}
}

// check returns an *exchange.BrokenError for an answer of another request or without a
// signature, and a *NotRunError for a replica's promise.
func (a *Answer) check(call *Call) error {
	if a.Verdict.RequestID != call.ID {
		a.Endpoint.State.Failures.Add(1)
		a.Discard()
		return &exchange.BrokenError{Address: a.Endpoint.Address, Cause: ErrForeignAnswer}
	}
	if a.Verdict.NotRun {
		a.drain()
		return &NotRunError{Replica: a.Endpoint.Name, Status: a.Status, OtherReplica: a.Verdict.OtherReplica}
	}
	if a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices && !a.Verdict.Signed {
		a.Endpoint.State.Failures.Add(1)
		a.Discard()
		return &exchange.BrokenError{Address: a.Endpoint.Address, Cause: ErrUnsigned}
	}
	return nil
}

// maxDrainBytes bounds what is read of a refusal to keep its connection.
const maxDrainBytes = 2 << 10

// drain reads a short body, so that the connection can be kept, and closes the answer.
func (a *Answer) drain() {
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
