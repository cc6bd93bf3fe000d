package dispatch

import "context"

// Guard keeps requests that crash replicas from further replicas. It learns how the runs
// of requests end.
type Guard interface {
	// Admit returns a *QuarantinedError for a call that must not be sent. It may wait
	// until the end of the call's previous run has been examined.
	Admit(ctx context.Context, call *Call) error
	// ObserveBroken takes a run whose connection broke while this node waited for the
	// answer.
	ObserveBroken(run Run)
	// ObserveServed takes a call that a replica has answered whole, with a status.
	ObserveServed(call *Call, status int)
}
