package jobstore

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNoSuchJob means that the store has no such batch job.
	ErrNoSuchJob = merry.Sentinel("no such batch job")
	// ErrTruncated means that a stored batch job lacks a part.
	ErrTruncated = merry.Sentinel("stored batch job lacks a part")
)

// UncertainError means that a batch job may or may not be accepted later.
type UncertainError struct{ Cause error }

// Error gives the cause.
func (e *UncertainError) Error() string { return fmt.Sprintf("batch job may be taken: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// NotTakenError means that a batch job was not accepted and nothing of it will run.
type NotTakenError struct{ Cause error }

// Error gives the cause.
func (e *NotTakenError) Error() string { return fmt.Sprintf("batch job not taken: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotTakenError) Unwrap() error { return e.Cause }
