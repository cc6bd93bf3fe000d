package dispatch

import "context"

// Guard keeps requests that crash replicas from being sent to more replicas. It is told the
// outcome of attempts.
type Guard interface {
	// Admit returns a *QuarantinedError if the call must not be sent, a *CrashBackoffError if a
	// deferred call must not be sent yet, and a *QuarantineUnknownError if the quarantine record
	// has not been read yet. It may block
	// until it is known whether a broken attempt of the same request crashed its replica.
	Admit(ctx context.Context, call *Call) error
	// ObserveBroken is called for an attempt whose connection broke before the response
	// was complete.
	ObserveBroken(attempt Attempt)
	// ObserveResponse is called for a call whose complete response, of whatever status, has
	// been read.
	ObserveResponse(call *Call, status int)
}
