package dispatch

import (
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Attempt is one attempt to run a call at a replica. It is used by the goroutine that reads the
// response.
type Attempt struct {
	Call     *Call
	Endpoint *routing.Endpoint
	// Duration is the time from the start of the attempt until its connection broke.
	Duration time.Duration
	// BodyReceived is set once a part of the response body has been read.
	BodyReceived bool

	guard Guard
	start time.Time
}

// reportError reports the attempt to the guard if err says that its connection broke.
func (a *Attempt) reportError(err error) {
	var broken *exchange.BrokenError
	if a.guard != nil && errors.As(err, &broken) {
		a.Duration = time.Since(a.start)
		a.guard.ObserveBroken(*a)
	}
}

// reportResponse reports a complete response to the guard.
func (a *Attempt) reportResponse(status int) {
	if a.guard != nil {
		a.guard.ObserveResponse(a.Call, status)
	}
}
