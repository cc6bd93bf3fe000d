package lease

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrUnanswered means that the receiver may have taken a call, or may yet.
	ErrUnanswered = merry.Sentinel("duty call not answered")
	// ErrFenced means that a call was not taken, since its receiver has seen a newer
	// token, or not sent, since this node does not hold the lease any more.
	ErrFenced = merry.Sentinel("fencing token is outdated")
)

// RejectedError is the receiver's refusal of a call, which has not been taken.
type RejectedError struct {
	// Status is that of the answer, 0 if the call was never sent.
	Status int
}

// Error names the status.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("duty call refused: status %d", e.Status)
}
