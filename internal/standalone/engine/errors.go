package engine

import (
	"fmt"
	"time"
)

// FailureKind says what is known about whether a failed dispatch ran.
type FailureKind int

const (
	// NotSent means that nothing of the request left this node.
	NotSent FailureKind = iota + 1
	// Refused means that the engine said, before admission, that it did not
	// take the request.
	Refused
	// Broken means that the request may have run, whole or in part.
	Broken
	// Invalid means that the engine sent something that cannot be right.
	Invalid
)

// String names the kind.
func (k FailureKind) String() string {
	return [...]string{"none", "not sent", "refused", "broken", "invalid"}[k]
}

// Error is a failed dispatch or order.
type Error struct {
	Kind    FailureKind
	Address string
	Detail  string
	// RetryAfter is the engine's advice, zero when it gave none.
	RetryAfter time.Duration
	Cause      error
}

// Error gives the kind, the engine and the detail.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("engine %s: %s: %s: %v", e.Address, e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("engine %s: %s: %s", e.Address, e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// MayHaveRun tells whether the engine may have worked on the request.
func (e *Error) MayHaveRun() bool { return e.Kind == Broken || e.Kind == Invalid }
