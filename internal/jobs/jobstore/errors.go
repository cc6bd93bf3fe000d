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
	// ErrAltered means that a stored payload is not the submission that was accepted.
	ErrAltered = merry.Sentinel("stored batch job is not the one that was submitted")
	// ErrNotText means that a payload is not valid UTF-8, as JSON has to be.
	ErrNotText = merry.Sentinel("batch job is not valid UTF-8")
)

// AcceptanceUnknownError means that it is unknown whether the record of a batch job was or
// will be stored.
type AcceptanceUnknownError struct{ Cause error }

// Error implements error.
func (e *AcceptanceUnknownError) Error() string {
	return fmt.Sprintf("batch job may be taken: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *AcceptanceUnknownError) Unwrap() error { return e.Cause }

// EndUnknownError means that it is unknown whether the end of a batch job was or will be stored.
type EndUnknownError struct{ Cause error }

// Error implements error.
func (e *EndUnknownError) Error() string {
	return fmt.Sprintf("batch job may have ended: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *EndUnknownError) Unwrap() error { return e.Cause }

// NotAcceptedError means that a batch job was not accepted and none of it will run.
type NotAcceptedError struct{ Cause error }

// Error implements error.
func (e *NotAcceptedError) Error() string { return fmt.Sprintf("batch job not taken: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Cause }
