package admission

import (
	"fmt"
	"time"
)

// Reason tells why a request was refused.
type Reason string

// Reasons of a RefusedError. The texts are part of the response to the caller.
const (
	ReasonRate     Reason = "rate"
	ReasonQueue    Reason = "queue full"
	ReasonShed     Reason = "displaced by a request of greater priority"
	ReasonDeadline Reason = "deadline would pass in the queue"
	ReasonStopping Reason = "node is stopping"
	ReasonRetries  Reason = "retry budget spent"
)

// defaultRetryAfter is the Retry-After of all refusals except those by the rate limit.
const defaultRetryAfter = time.Second

// RefusedError reports that a request was refused and has not started.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the time after which the caller should try again.
	RetryAfter time.Duration
}

// newRefusal returns a refusal for any reason except ReasonRate, whose Retry-After depends on
// the rate limiter.
func newRefusal(reason Reason) *RefusedError {
	return &RefusedError{Reason: reason, RetryAfter: defaultRetryAfter}
}

// Error implements error. The text is part of the response to the caller.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s; come back in %s", e.Reason, e.RetryAfter)
}
