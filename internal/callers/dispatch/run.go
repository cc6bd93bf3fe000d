package dispatch

import (
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Run is one attempt to run a call at a replica. It is used by the goroutine that reads the
// response.
type Run struct {
	Call     *Call
	Endpoint *routing.Endpoint
	// Lasted is the time from the start of the attempt until its connection broke.
	Lasted time.Duration
	// Received is set once a part of the response body has been read.
	Received bool

	guard Guard
	sent  time.Time
}

// reportError reports the attempt to the guard if err says that its connection broke.
func (r *Run) reportError(err error) {
	var broken *exchange.BrokenError
	if r.guard != nil && errors.As(err, &broken) {
		r.Lasted = time.Since(r.sent)
		r.guard.ObserveBroken(*r)
	}
}

// reportServed reports a complete response to the guard.
func (r *Run) reportServed(status int) {
	if r.guard != nil {
		r.guard.ObserveServed(r.Call, status)
	}
}
