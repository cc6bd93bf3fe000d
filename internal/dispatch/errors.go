package dispatch

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/exchange"
	"github.com/pathtally/pathtally/internal/routing"
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

// MayHaveRun tells whether a request that failed with an error may have run.
func MayHaveRun(err error) bool {
	var notRun *NotRunError
	var notSent *exchange.NotSentError
	var withheld *WithheldError
	return !errors.As(err, &notRun) && !errors.As(err, &notSent) && !errors.As(err, &withheld)
}
