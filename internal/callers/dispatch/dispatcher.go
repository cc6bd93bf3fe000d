package dispatch

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Dispatcher sends calls to replicas. It is safe for concurrent use.
type Dispatcher struct {
	pool    *exchange.Pool
	headers HeaderCodec
	metrics *Metrics
	// guard may be nil.
	guard  Guard
	logger klog.Logger
}

// New returns a Dispatcher that uses a pool of connections. Metrics may be nil.
func New(pool *exchange.Pool, headers HeaderCodec, metrics *Metrics) *Dispatcher {
	return &Dispatcher{pool: pool, headers: headers, metrics: metrics, logger: klog.Background()}
}

// SetGuard sets the guard. It must be called before the first Send.
func (d *Dispatcher) SetGuard(guard Guard) { d.guard = guard }

// SetLogger replaces the logger. It must be called before the first Send.
func (d *Dispatcher) SetLogger(logger klog.Logger) { d.logger = logger }

// Send makes one attempt and returns the response, whose body has not been read yet. The
// caller must Close or Discard it. The error is a *QuarantinedError, a *CrashBackoffError, a
// *QuarantineUnknownError, a *WithheldError, a *NotRunError, an *exchange.NotSentError or an
// *exchange.BrokenError; MayHaveRun reports whether the replica may have run the request.
func (d *Dispatcher) Send(ctx context.Context, endpoint *routing.Endpoint, call *Call) (*Response, error) {
	if d.guard != nil {
		if err := d.guard.Admit(ctx, call); err != nil {
			return nil, err
		}
	}
	if withheld := admitToReplica(endpoint); withheld != nil {
		d.metrics.countWithheld(withheld.Reason)
		return nil, withheld
	}
	request := d.newRequest(endpoint, call)
	attempt := &Attempt{Call: call, Endpoint: endpoint, guard: d.guard, start: time.Now()}
	endpoint.State.InFlight.Add(1)
	httpResponse, err := d.pool.Send(ctx, endpoint.Address, request, call.AtMostOnce)
	if err != nil {
		endpoint.State.InFlight.Add(-1)
		if ctx.Err() == nil {
			endpoint.State.Failures.Add(1)
			attempt.reportError(err)
		}
		return nil, err
	}
	response := &Response{Response: httpResponse, Metadata: d.headers.Decode(httpResponse.Status, httpResponse.Header), Endpoint: endpoint}
	d.observeLoad(response, call)
	if err := response.check(call); err != nil {
		d.logger.V(1).Info("response not accepted", "request", call.ID, "replica", endpoint.Name, "status", response.Status, "responseTo", response.Metadata.RequestID,
			"connection", response.LocalAddress(), "requestOnConnection", response.RequestNumber(), "error", err.Error())
		return nil, err
	}
	response.ctx, response.attempt = ctx, attempt
	return response, nil
}

// admitToReplica returns an error if the replica must not get a request now. If the replica is
// warming up, admitToReplica takes one of its slow-start permits.
func admitToReplica(endpoint *routing.Endpoint) *WithheldError {
	if endpoint.State.Evacuated() {
		return &WithheldError{Replica: endpoint.Name, Reason: routing.ReasonEvacuated}
	}
	if !endpoint.State.SlowStart.TakePermit() {
		return &WithheldError{Replica: endpoint.Name, Reason: routing.ReasonSlowStart}
	}
	return nil
}

// newRequest returns the HTTP request that sends a call to a replica.
func (d *Dispatcher) newRequest(endpoint *routing.Endpoint, call *Call) *exchange.Request {
	header := call.Header.Clone()
	d.headers.Encode(header, RequestMetadata{
		Replica: endpoint.InstanceName(), Remaining: time.Until(call.Deadline), LastEventID: call.LastEventID, Version: call.Version,
		EnginePriority: call.EnginePriority, Tenant: call.Tenant,
	})
	return &exchange.Request{
		Method: call.Method, Target: call.Target, Host: call.Host, Header: header, Body: call.Body, Identity: call.ID, Purpose: call.Purpose,
	}
}
