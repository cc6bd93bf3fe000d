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

// ErrUnsigned means that a success carries no replica's signature.
var ErrUnsigned = merry.Sentinel("success without a signature")

// NotRunError is a replica's promise that it has not run a request.
type NotRunError struct {
	Replica string
	Status  int
	// OtherReplica tells that the incarnation asked for is no longer there.
	OtherReplica bool
}

// Error names the replica and the status.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("replica %s did not run the request: status %d", e.Replica, e.Status)
}

// WithheldError is a request that this node did not send, since the replica is to get
// none: its zone is evacuated, or it warms up and bears no more now.
type WithheldError struct {
	Replica string
	Reason  routing.Reason
}

// Error names the replica and the reason.
func (e *WithheldError) Error() string {
	return fmt.Sprintf("nothing sent to replica %s: it is %s", e.Replica, e.Reason)
}

// QuarantinedError is a request that this node did not send, since replicas end under it.
// No other replica will do.
type QuarantinedError struct {
	// Fingerprint tells the request from others, whatever its id.
	Fingerprint string
	// Left is for how much longer it is not sent.
	Left time.Duration
}

// Error names the request and the time.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %s is not sent for %v: replicas end under it", e.Fingerprint, e.Left.Round(time.Second))
}

// MayHaveRun tells whether a request that failed with an error may have run.
func MayHaveRun(err error) bool {
	var notRun *NotRunError
	var notSent *exchange.NotSentError
	var withheld *WithheldError
	var quarantined *QuarantinedError
	return !errors.As(err, &notRun) && !errors.As(err, &notSent) && !errors.As(err, &withheld) && !errors.As(err, &quarantined)
}
