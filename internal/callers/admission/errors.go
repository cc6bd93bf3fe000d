package admission

import (
	"fmt"
	"time"
)

// Reason is the bound that refused a request.
type Reason string

// The reasons of a refusal.
const (
	ReasonRate     Reason = "rate"
	ReasonQueue    Reason = "queue full"
	ReasonShed     Reason = "displaced by a request of greater priority"
	ReasonDeadline Reason = "deadline would pass in the queue"
	ReasonStopping Reason = "node is stopping"
	ReasonRetries  Reason = "retry budget spent"
)

// queueRetryAfter is the Retry-After of refusals but those by the rate.
const queueRetryAfter = time.Second

// RefusedError is a request that was not started.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the time after which the caller should try again.
	RetryAfter time.Duration
}

// newRefusal returns a refusal for any reason but ReasonRate, whose Retry-After is the time
// until the rate allows the request.
func newRefusal(reason Reason) *RefusedError {
	return &RefusedError{Reason: reason, RetryAfter: queueRetryAfter}
}

// Error gives the reason and the Retry-After.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s; come back in %s", e.Reason, e.RetryAfter)
}
