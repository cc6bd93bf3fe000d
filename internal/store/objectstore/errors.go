package objectstore

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = merry.Sentinel("object not found")
	// ErrHistoryGone means that a watch must start again from a listing.
	ErrHistoryGone = merry.Sentinel("watch history is gone")
)

// ConflictError is a write whose condition did not hold; nothing was done.
type ConflictError struct {
	// Current is the object as it stands.
	Current Object
}

// Error names the object and its revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s is at revision %d", e.Current.Name, e.Current.Revision)
}

// RefusedError is a call that the store turned away; nothing was done.
type RefusedError struct {
	// Status is the HTTP status of the answer, 0 when the call was not sent.
	Status int
	Cause  error
}

// Error gives the status and the cause.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused the call with status %d: %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// UnansweredError is a call without an answer: a write may have been done, or
// may be done later if its condition still holds.
type UnansweredError struct{ Cause error }

// Error gives the cause.
func (e *UnansweredError) Error() string { return fmt.Sprintf("store did not answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }
