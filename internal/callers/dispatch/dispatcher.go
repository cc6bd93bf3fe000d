package dispatch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Dispatcher sends calls to replicas. It is safe for use by many goroutines.
type Dispatcher struct {
	pool    *exchange.Pool
	headers Headers
	metrics *Metrics
	// guard is nil for none.
	guard Guard
}

// New returns a dispatcher over a pool of connections. Metrics may be nil.
func New(pool *exchange.Pool, headers Headers, metrics *Metrics) *Dispatcher {
	return &Dispatcher{pool: pool, headers: headers, metrics: metrics}
}

// SetGuard sets the guard. It must be called before the first Send.
func (d *Dispatcher) SetGuard(guard Guard) { d.guard = guard }

// Send makes one attempt and returns the answer, whose body is still to be read. The
// caller must Close or Discard it. The error is a *QuarantinedError, a *WithheldError, a
// *NotRunError, an *exchange.NotSentError or an *exchange.BrokenError; MayHaveRun tells
// them apart.
func (d *Dispatcher) Send(ctx context.Context, endpoint *routing.Endpoint, call *Call) (*Answer, error) {
	if d.guard != nil {
		if err := d.guard.Admit(ctx, call); err != nil {
			return nil, err
		}
	}
	if withheld := admit(endpoint); withheld != nil {
		d.metrics.countWithheld(withheld.Reason)
		return nil, withheld
	}
	request := d.newRequest(endpoint, call)
	run := &Run{Call: call, Endpoint: endpoint, guard: d.guard, sent: time.Now()}
	endpoint.State.InFlight.Add(1)
	response, err := d.pool.Send(ctx, endpoint.Address, request, call.Once)
	if err != nil {
		endpoint.State.InFlight.Add(-1)
		if ctx.Err() == nil {
			endpoint.State.Failures.Add(1)
			run.reportError(err)
		}
		return nil, err
	}
	answer := &Answer{Response: response, Verdict: d.headers.Judge(response.Status, response.Header), Endpoint: endpoint}
	if err := answer.check(call); err != nil {
		return nil, err
	}
	answer.ctx, answer.run = ctx, run
	return answer, nil
}

// admit returns why a replica must get no request now, nil if it may. It takes the permit
// of a replica that is warming up.
func admit(endpoint *routing.Endpoint) *WithheldError {
	if endpoint.State.Evacuated() {
		return &WithheldError{Replica: endpoint.Name, Reason: routing.ReasonEvacuated}
	}
	if !endpoint.State.SlowStart.TakePermit() {
		return &WithheldError{Replica: endpoint.Name, Reason: routing.ReasonSlowStart}
	}
	return nil
}

// newRequest returns the request to a replica for a call.
func (d *Dispatcher) newRequest(endpoint *routing.Endpoint, call *Call) *exchange.Request {
	header := call.Header.Clone()
	d.headers.Prepare(header, Conditions{
		Replica: endpoint.InstanceName(), Remaining: time.Until(call.Deadline), AfterEvent: call.AfterEvent, Version: call.Version,
		Rank: call.Rank, Tenant: call.Tenant,
	})
	return &exchange.Request{
		Method: call.Method, Target: call.Target, Host: call.Host, Header: header, Body: call.Body, Purpose: call.Purpose,
	}
}
