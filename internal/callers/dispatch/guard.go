package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Guard learns how the runs of requests end, and keeps those from replicas that end them.
type Guard interface {
	// Admit returns a *QuarantinedError for a call that is not to be sent. It may wait
	// for what is being found out about the call's last run.
	Admit(ctx context.Context, call *Call) error
	// Broke takes a run whose connection broke while it was waited for.
	Broke(run Run)
	// Served takes a call that a replica has answered whole, with a status.
	Served(call *Call, status int)
}

// Run is one run of a call at a replica, as far as it has come. It belongs to the
// goroutine that reads the answer.
type Run struct {
	Call     *Call
	Endpoint *routing.Endpoint
	// Lasted is how long after it was sent the run ended.
	Lasted time.Duration
	// Received tells that a part of the answer's body has come.
	Received bool

	guard Guard
	sent  time.Time
}

// broke tells the guard of a run that failed with an error, if its connection broke.
func (r *Run) broke(err error) {
	var broken *exchange.BrokenError
	if r.guard != nil && errors.As(err, &broken) {
		r.Lasted = time.Since(r.sent)
		r.guard.Broke(*r)
	}
}

// served tells the guard of a whole answer with a status.
func (r *Run) served(status int) {
	if r.guard != nil {
		r.guard.Served(r.Call, status)
	}
}
