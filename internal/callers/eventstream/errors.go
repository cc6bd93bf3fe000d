package eventstream

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// ErrTruncated means that the stream ended in the middle of an event.
var ErrTruncated = merry.Sentinel("stream ended in the middle of an event")

// ErrBudgetExhausted means that the long events of all streams leave no memory for an event.
var ErrBudgetExhausted = merry.Sentinel("no memory for the event")

// MalformedError reports an event that cannot be parsed or does not follow the previous one.
type MalformedError struct {
	Reason string
	// Line is the line concerned, or the event's id if the event is out of order or has no
	// data.
	Line string
}

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("%s: %q", e.Reason, e.Line) }
