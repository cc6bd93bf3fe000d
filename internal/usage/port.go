package usage

import (
	"context"
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Report is the usage of one window.
type Report struct {
	// Window is its number, in windows since the start of 1970.
	Window int64
	// Holder and Token name the lease under which it is reported.
	Holder string
	Token  uint64
	Counts Counts
}

// Platform takes reports.
type Platform interface {
	// Report sends one report. Its error is ErrUnanswered where the platform may
	// have taken it, ErrFenced where it has seen a newer token, or a
	// *RejectedError.
	Report(ctx context.Context, report Report) error
}

var (
	// ErrUnanswered means that the platform may have taken a report, or may yet.
	ErrUnanswered = merry.Sentinel("report not answered")
	// ErrFenced means that the platform has seen a newer token.
	ErrFenced = merry.Sentinel("fencing token is outdated")
)

// RejectedError is the platform's refusal of a report, which has not been taken.
type RejectedError struct {
	// Status is that of the answer.
	Status int
}

// Error names the status.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the platform refused the report: status %d", e.Status)
}
