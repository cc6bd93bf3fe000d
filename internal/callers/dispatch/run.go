package dispatch

import (
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Run is one run of a call at a replica, so far. It belongs to the goroutine that reads
// the answer.
type Run struct {
	Call     *Call
	Endpoint *routing.Endpoint
	// Lasted is the time from the sending to the end.
	Lasted time.Duration
	// Received is set once a part of the answer's body has come.
	Received bool

	guard Guard
	sent  time.Time
}

// reportError reports a run that failed with an error to the guard, if its connection
// broke.
func (r *Run) reportError(err error) {
	var broken *exchange.BrokenError
	if r.guard != nil && errors.As(err, &broken) {
		r.Lasted = time.Since(r.sent)
		r.guard.ObserveBroken(*r)
	}
}

// reportServed reports a whole answer with a status to the guard.
func (r *Run) reportServed(status int) {
	if r.guard != nil {
		r.guard.ObserveServed(r.Call, status)
	}
}
