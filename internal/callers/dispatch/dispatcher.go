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
	// guard keeps calls from replicas that end under them, nil for none.
	guard Guard
}

// New returns a dispatcher over a pool of connections. Metrics may be nil.
func New(pool *exchange.Pool, headers Headers, metrics *Metrics) *Dispatcher {
	return &Dispatcher{pool: pool, headers: headers, metrics: metrics}
}

// SetGuard has a guard asked before calls are sent, and told how runs end. Call it before
// the first Send.
func (d *Dispatcher) SetGuard(guard Guard) { d.guard = guard }

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

// Send makes one attempt. Its error is a *QuarantinedError, a *WithheldError, a
// *NotRunError, an *exchange.NotSentError or an *exchange.BrokenError. The caller closes
// the answer.
func (d *Dispatcher) Send(ctx context.Context, endpoint *routing.Endpoint, call *Call) (*Answer, error) {
	if d.guard != nil {
		// A request that ends its replica comes again, here or at another node: without
		// this every replica of a service ends under it, each time it is back.
		if err := d.guard.Admit(ctx, call); err != nil {
			return nil, err
		}
	}
	if withheld := admit(endpoint); withheld != nil {
		d.metrics.countWithheld(withheld.Reason)
		return nil, withheld
	}
	header := call.Header.Clone()
	d.headers.Prepare(header, Conditions{
		Replica: endpoint.InstanceName(), Remaining: time.Until(call.Deadline), AfterEvent: call.AfterEvent, Version: call.Version,
		Rank: call.Rank, Tenant: call.Tenant,
	})
	request := &exchange.Request{Method: call.Method, Target: call.Target, Host: call.Host, Header: header, Body: call.Body, Purpose: call.Purpose}
	run := &Run{Call: call, Endpoint: endpoint, guard: d.guard, sent: time.Now()}
	endpoint.State.InFlight.Add(1)
	response, err := d.pool.Send(ctx, endpoint.Address, request, call.Once)
	if err != nil {
		endpoint.State.InFlight.Add(-1)
		if ctx.Err() == nil {
			endpoint.State.Failures.Add(1)
			run.broke(err)
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
