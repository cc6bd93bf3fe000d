package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/exchange"
	"github.com/pathtally/pathtally/internal/routing"
)

// Dispatcher sends calls to replicas. It is safe for use by many goroutines.
type Dispatcher struct {
	pool    *exchange.Pool
	headers Headers
	metrics *Metrics
}

// New returns a dispatcher over a pool of connections. Metrics may be nil.
func New(pool *exchange.Pool, headers Headers, metrics *Metrics) *Dispatcher {
	return &Dispatcher{pool: pool, headers: headers, metrics: metrics}
}

// Answer is a replica's answer with its verdict.
type Answer struct {
	*exchange.Response
	Verdict  Verdict
	Endpoint *routing.Endpoint
	ended    bool
}

// Close ends the answer and the endpoint's count of it.
func (a *Answer) Close() {
	if !a.ended {
		a.ended = true
		a.Endpoint.State.InFlight.Add(-1)
	}
	a.Response.Close()
}

// Discard ends the answer and its connection.
func (a *Answer) Discard() {
	if !a.ended {
		a.ended = true
		a.Endpoint.State.InFlight.Add(-1)
	}
	a.Response.Discard()
}

// admit tells why a replica is to get no request now. Everything that goes to a
// replica passes here last: what a pick found may have changed since.
func admit(endpoint *routing.Endpoint) *WithheldError {
	if endpoint.State.Evacuated() {
		return &WithheldError{Replica: endpoint.Name, Reason: routing.ReasonEvacuated}
	}
	if !endpoint.State.SlowStart.Take() {
		return &WithheldError{Replica: endpoint.Name, Reason: routing.ReasonSlowStart}
	}
	return nil
}

// Send makes one attempt. Its error is a *WithheldError, a *NotRunError, an
// *exchange.NotSentError or an *exchange.BrokenError. The caller closes the
// answer.
func (d *Dispatcher) Send(ctx context.Context, endpoint *routing.Endpoint, call *Call) (*Answer, error) {
	if withheld := admit(endpoint); withheld != nil {
		d.metrics.countWithheld(withheld.Reason)
		return nil, withheld
	}
	header := call.Header.Clone()
	d.headers.Prepare(header, Conditions{
		Replica: endpoint.Name, Remaining: time.Until(call.Deadline), AfterEvent: call.AfterEvent, Version: call.Version,
		Rank: call.Rank, Tenant: call.Tenant,
	})
	request := &exchange.Request{Method: call.Method, Target: call.Target, Host: call.Host, Header: header, Body: call.Body, Purpose: call.Purpose}
	endpoint.State.InFlight.Add(1)
	response, err := d.pool.Send(ctx, endpoint.Address, request, call.Once)
	if err != nil {
		endpoint.State.InFlight.Add(-1)
		if ctx.Err() == nil {
			endpoint.State.Failures.Add(1)
		}
		return nil, err
	}
	answer := &Answer{Response: response, Verdict: d.headers.Judge(response.Status, response.Header), Endpoint: endpoint}
	if err := answer.check(call); err != nil {
		return nil, err
	}
	return answer, nil
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
