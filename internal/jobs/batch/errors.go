package batch

import (
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

var (
	// ErrOtherTenant is returned for a submission whose id belongs to a batch job of
	// another tenant.
	ErrOtherTenant = merry.Sentinel("another tenant's batch job has this id")
	// ErrItemCredentials is returned for a submission in which an item carries
	// credentials.
	ErrItemCredentials = merry.Sentinel("an item must not carry credentials: it runs for the tenant that hands the batch job in")
	// ErrOutsideAllowedRegions means that this node is outside the regions that may hold
	// the bodies of a batch job.
	ErrOutsideAllowedRegions = merry.Sentinel("the node is outside the allowed regions")
	// ErrNoSuchItem means that a batch job has no item with the given id.
	ErrNoSuchItem = merry.Sentinel("no such item")
	// ErrNotOwner means that the node asked does not run the batch job.
	ErrNotOwner = merry.Sentinel("node does not run the batch job")
	// ErrTruncatedStream means that the connection closed before the end of the response
	// was received.
	ErrTruncatedStream = merry.Sentinel("connection closed before the end of the response")
	// ErrStalled is the cause of a run that was canceled because no events came.
	ErrStalled = merry.Sentinel("run has stalled")
	// ErrMoved is the cause of a run that was canceled to continue at another replica.
	ErrMoved = merry.Sentinel("run was moved")
	// ErrNoVersion means that a replica's response names no weight version.
	ErrNoVersion = merry.Sentinel("response names no weight version")
	// ErrOldWeights means that a replica's weight version is older than the job allows,
	// or not the one that generated the item's earlier events where its route requires a
	// single version.
	ErrOldWeights = merry.Sentinel("weights are older than allowed")
)

// InvalidItemError means that an item of a submission must not be sent to a replica.
type InvalidItemError struct {
	// Item is the id of the item.
	Item  string
	Cause error
}

func (e *InvalidItemError) Error() string { return fmt.Sprintf("item %q: %v", e.Item, e.Cause) }

func (e *InvalidItemError) Unwrap() error { return e.Cause }

// RescheduledError means that the scheduler canceled a run so that its item continues
// elsewhere.
type RescheduledError struct {
	// Cause is ErrMoved or ErrStalled.
	Cause  error
	Reason placement.Reason
}

func (e *RescheduledError) Error() string { return fmt.Sprintf("%v: %s", e.Cause, e.Reason) }

func (e *RescheduledError) Unwrap() error { return e.Cause }

// ItemStatusError means that a replica responded to an item with a status other than 200.
type ItemStatusError struct{ Status int }

func (e *ItemStatusError) Error() string {
	return fmt.Sprintf("replica responded with status %d", e.Status)
}
