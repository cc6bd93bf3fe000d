package admission

import (
	"fmt"
	"time"
)

// Reason says which bound refused a request.
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

// RefusedError is a request that was not started.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error gives the reason and when to come back.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s; come back in %s", e.Reason, e.RetryAfter)
}
