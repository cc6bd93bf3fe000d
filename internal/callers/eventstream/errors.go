package eventstream

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// ErrTorn means that the stream ended in the middle of an event.
var ErrTorn = merry.Sentinel("stream ended in the middle of an event")

// MalformedError is an event that cannot be read or does not follow the last one.
type MalformedError struct {
	Reason string
	Line   string
}

// Error gives the reason and the line.
func (e *MalformedError) Error() string { return fmt.Sprintf("%s: %q", e.Reason, e.Line) }
