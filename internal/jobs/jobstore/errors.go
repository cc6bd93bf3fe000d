package jobstore

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNoSuchJob means that the batch job is not in the store.
	ErrNoSuchJob = merry.Sentinel("no such batch job")
	// ErrTruncated means that a part or chunk of a stored batch job is missing.
	ErrTruncated = merry.Sentinel("stored batch job lacks a part")
)

// UncertainError means that it is unknown whether the record of a batch job was or will be
// stored.
type UncertainError struct{ Cause error }

// Error implements error.
func (e *UncertainError) Error() string { return fmt.Sprintf("batch job may be taken: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// NotTakenError means that a batch job was not accepted and none of it will run.
type NotTakenError struct{ Cause error }

// Error implements error.
func (e *NotTakenError) Error() string { return fmt.Sprintf("batch job not taken: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotTakenError) Unwrap() error { return e.Cause }
