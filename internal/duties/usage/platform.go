package usage

import "context"

// Report is the usage of one window.
type Report struct {
	// Window is the number of the window, counted from the Unix epoch.
	Window int64
	// Holder and Token identify the lease under which the report is sent.
	Holder string
	Token  uint64
	Counts Counts
}

// Platform accepts reports of usage.
type Platform interface {
	// Report sends one report. The error is lease.ErrUnanswered if the platform may have
	// accepted it, lease.ErrFenced if the platform has seen a newer token, or a
	// *lease.RejectedError.
	Report(ctx context.Context, report Report) error
}
