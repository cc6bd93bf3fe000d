package dispatch

import (
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/exchange"
	"github.com/pathtally/pathtally/internal/routing"
)

// Guard learns how the runs of requests end. Its methods return at once.
type Guard interface {
	// Broke takes a run whose connection broke while it was waited for.
	Broke(run Run)
	// Served takes a call that a replica has answered whole.
	Served(call *Call)
}

// Run is one run of a call at a replica, as far as it has come. It belongs to the
// goroutine that reads the answer.
type Run struct {
	Call     *Call
	Endpoint *routing.Endpoint
	// Sent is when the call was sent.
	Sent time.Time
	// Received tells that a part of the answer's body has come.
	Received bool

	guard Guard
}

// broke tells the guard of a run that failed with an error, if its connection broke.
func (r *Run) broke(err error) {
	var broken *exchange.BrokenError
	if r.guard != nil && errors.As(err, &broken) {
		r.guard.Broke(*r)
	}
}

// served tells the guard of a whole answer.
func (r *Run) served() {
	if r.guard != nil {
		r.guard.Served(r.Call)
	}
}
