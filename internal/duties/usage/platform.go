package usage

import "context"

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
	// Report sends one report. Its error is lease.ErrUnanswered where the platform may
	// have taken it, lease.ErrFenced where it has seen a newer token, or a
	// *lease.RejectedError.
	Report(ctx context.Context, report Report) error
}
