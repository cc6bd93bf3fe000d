package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Answer is a replica's answer with its verdict.
type Answer struct {
	*exchange.Response
	Verdict  Verdict
	Endpoint *routing.Endpoint
	ended    bool
	// ctx is that of the attempt, and run what the guard is told of; the run is nil
	// until the answer is known to be the request's own.
	ctx context.Context
	run *Run
}

// Read implements io.Reader over the body, as the response does, and notes how the run
// ends.
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
			a.run.served(a.Status)
		}
		a.run = nil
	case err != nil:
		if a.ctx.Err() == nil {
			a.run.broke(err)
		}
		a.run = nil
	}
	return count, err
}

// Close ends the answer and the endpoint's count of it.
func (a *Answer) Close() {
	a.end()
	a.Response.Close()
}

// Discard ends the answer and its connection.
func (a *Answer) Discard() {
	a.end()
	a.Response.Discard()
}

// end takes the answer off the endpoint's count, once.
func (a *Answer) end() {
	if !a.ended {
		a.ended = true
		a.Endpoint.State.InFlight.Add(-1)
	}
}

// check refuses answers that are not this request's, and turns promises into
// errors.
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

// smallBody bounds what is read of a refusal to keep its connection.
const smallBody = 2 << 10

// drain reads a short body so that the connection can be kept.
func (a *Answer) drain() {
	buffer := make([]byte, smallBody)
	for read := 0; read < smallBody; {
		count, err := a.Read(buffer)
		read += count
		if err != nil {
			break
		}
	}
	a.Close()
}
