package lease

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrStopped means that this node has stopped performing duties.
	ErrStopped = merry.Sentinel("node has stopped performing duties")
	// ErrUnanswered means that the receiver may have executed a call, or may still do so.
	ErrUnanswered = merry.Sentinel("outcome of duty call is unknown")
	// ErrFenced means that a call was not executed because its receiver has seen a newer
	// token, or not sent because this node no longer holds the lease.
	ErrFenced = merry.Sentinel("fencing token is outdated")
)

// RejectedError means that the receiver rejected a call and did not execute it.
type RejectedError struct {
	// Status is the status of the response, 0 if the call was never sent.
	Status int
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("duty call rejected: status %d", e.Status)
}
