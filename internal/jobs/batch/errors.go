package batch

import (
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

var (
	// ErrOtherTenant means that another tenant has handed in a batch job under
	// the same id.
	ErrOtherTenant = merry.Sentinel("another tenant's batch job has this id")
	// ErrCredentials means that an item of a batch job carries credentials.
	ErrCredentials = merry.Sentinel("an item must not carry credentials: it runs for the tenant that hands the batch job in")
	// ErrOutside means that a node may not have the bodies of a batch job.
	ErrOutside = merry.Sentinel("the node is outside the allowed regions")
	// ErrNoSuchItem means that a batch job has no such item.
	ErrNoSuchItem = merry.Sentinel("no such item")
	// ErrDisplaced means that another node runs the batch job now.
	ErrDisplaced = merry.Sentinel("another node runs the batch job")
	// ErrUnframed means that only the end of a connection ended a stream.
	ErrUnframed = merry.Sentinel("stream ended without a frame")
	// ErrStalled means that a run was cut because nothing came.
	ErrStalled = merry.Sentinel("run has stalled")
	// ErrMoved means that a run was cut to go on at a faster replica.
	ErrMoved = merry.Sentinel("run was moved")
	// ErrNoVersion means that a replica names no weight version.
	ErrNoVersion = merry.Sentinel("replica names no weight version")
	// ErrOldWeights means that a replica's weights are older than allowed.
	ErrOldWeights = merry.Sentinel("weights are older than allowed")
)

// CutError is a run that was cut to go on elsewhere.
type CutError struct {
	// Cause is ErrMoved or ErrStalled, and Reason why it is worth it.
	Cause  error
	Reason placement.Reason
}

// Error gives the cause and the reason.
func (e *CutError) Error() string { return fmt.Sprintf("%v: %s", e.Cause, e.Reason) }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// ItemStatusError is a replica's answer that is no stream of an item.
type ItemStatusError struct{ Status int }

// Error gives the status.
func (e *ItemStatusError) Error() string { return fmt.Sprintf("replica answered status %d", e.Status) }
