package lease

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrStopped means that this node has given up its duties.
	ErrStopped = merry.Sentinel("node takes no more duties")
	// ErrUnanswered means that the receiver may have carried a call out, or may yet.
	ErrUnanswered = merry.Sentinel("duty call not answered")
	// ErrFenced means that a call was not carried out, since its receiver has seen a newer
	// token, or not sent, since this node no longer holds the lease.
	ErrFenced = merry.Sentinel("fencing token is outdated")
)

// RejectedError is the receiver's refusal of a call, which was not carried out.
type RejectedError struct {
	// Status is that of the answer, 0 if the call was never sent.
	Status int
}

// Error names the status.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("duty call refused: status %d", e.Status)
}
