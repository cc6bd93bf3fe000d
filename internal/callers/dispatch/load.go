package dispatch

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// observeLoad stores the load that a replica reports with a response, and logs the first
// unusable report of each incarnation. It stores only reports with a slowdown: services that
// report without it are served as if they reported nothing. Response.check may read the body, so
// observeLoad is called before it and records the time of receipt of the headers.
func (d *Dispatcher) observeLoad(response *Response, call *Call) {
	metadata, endpoint := &response.Metadata, response.Endpoint
	if !response.isFromReplica(call) {
		metadata.Load, metadata.LoadError = nil, nil
		return
	}
	if metadata.Load != nil && metadata.Load.Slots != endpoint.Slots {
		metadata.LoadError = &LoadReportError{Cause: ErrContradictoryLoad, Report: fmt.Sprintf("%+v", *metadata.Load)}
		metadata.Load = nil
	}
	d.metrics.countLoadReport(metadata)
	if metadata.Load != nil && metadata.Load.HasSlowdown {
		endpoint.State.ObserveLoad(*metadata.Load, time.Now())
	}
	if metadata.LoadError != nil && endpoint.State.MarkLoadFault() {
		d.logger.Error(metadata.LoadError, "unusable load report of replica, ignored", "replica", endpoint.Name, "slots", endpoint.Slots)
	}
}

// isFromReplica reports whether the endpoint's replica produced the response to the call.
// Otherwise another process may have the address, or the response belongs to an earlier request.
func (r *Response) isFromReplica(call *Call) bool {
	isSuccess := r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
	return r.Metadata.RequestID == call.ID && !r.Metadata.AddressReassigned && (r.Metadata.Signed || !isSuccess)
}

// loadOutcome returns the value of the outcome label for the load report of a response.
func loadOutcome(metadata *ResponseMetadata) string {
	switch {
	case metadata.Load != nil && metadata.Load.HasSlowdown:
		return "usable"
	case metadata.Load != nil:
		return "no_slowdown"
	case errors.Is(metadata.LoadError, ErrContradictoryLoad):
		return "contradictory"
	case metadata.LoadError != nil:
		return "malformed"
	}
	return "absent"
}
