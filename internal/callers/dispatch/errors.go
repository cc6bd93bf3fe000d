package dispatch

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// ErrForeignAnswer means that an answer belongs to another request.
var ErrForeignAnswer = merry.Sentinel("answer belongs to another request")

// ErrUnsigned means that an answer of status 2xx has no replica's signature.
var ErrUnsigned = merry.Sentinel("success without a signature")

// NotRunError is a replica's promise that it has not run a request.
type NotRunError struct {
	Replica string
	Status  int
	// OtherReplica is set if another replica has the address by now.
	OtherReplica bool
}

// Error names the replica and the status.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("replica %s did not run the request: status %d", e.Replica, e.Status)
}

// WithheldError is a request that this node did not send, since the replica gets none
// now.
type WithheldError struct {
	Replica string
	// Reason is routing.ReasonEvacuated or routing.ReasonSlowStart.
	Reason routing.Reason
}

// Error names the replica and the reason.
func (e *WithheldError) Error() string {
	return fmt.Sprintf("nothing sent to replica %s: it is %s", e.Replica, e.Reason)
}

// QuarantinedError is a request that this node did not send, since replicas crash under
// it. It must go to no other replica either.
type QuarantinedError struct {
	// Fingerprint identifies the request, whatever its id.
	Fingerprint string
	// Left is the time until the quarantine ends.
	Left time.Duration
}

// Error names the request and the time.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %s is not sent for %v: replicas end under it", e.Fingerprint, e.Left.Round(time.Second))
}

// MayHaveRun returns whether a request may have run whose Send or read of an answer failed
// with an error.
func MayHaveRun(err error) bool {
	var notRun *NotRunError
	var notSent *exchange.NotSentError
	var withheld *WithheldError
	var quarantined *QuarantinedError
	return !errors.As(err, &notRun) && !errors.As(err, &notSent) && !errors.As(err, &withheld) && !errors.As(err, &quarantined)
}
