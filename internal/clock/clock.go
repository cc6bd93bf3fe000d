package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current instant. Only instants of the same clock can be compared.
type Clock func() time.Time

// Since returns the time since an instant.
func (c Clock) Since(at time.Time) time.Duration { return c().Sub(at) }

// Until returns the time until an instant.
func (c Clock) Until(at time.Time) time.Duration { return at.Sub(c()) }

// Monotonic is the process's monotonic clock, which stops while the machine is suspended. Tests
// use it, since it follows a virtual clock.
var Monotonic = Clock(time.Now)

// UnreadableError reports that the boot-time clock can't be read.
type UnreadableError struct{ Cause error }

// Error gives the cause.
func (e *UnreadableError) Error() string {
	return "clock that counts suspensions cannot be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// NewBootTime returns a clock that keeps counting while the machine is suspended and ignores steps
// of the time of day. It starts at the time of day of the call. It returns an
// *UnreadableError if the machine has no such clock.
func NewBootTime() (Clock, error) {
	began, err := sinceBoot()
	if err != nil {
		return nil, &UnreadableError{Cause: err}
	}
	// Round strips the monotonic reading, by which instants would otherwise be compared.
	origin := time.Now().Round(0)
	return func() time.Time {
		elapsed, err := sinceBoot()
		if err != nil {
			// A clock that could be read once fails only for invalid arguments. A node must
			// not continue without it.
			panic(&UnreadableError{Cause: err})
		}
		return origin.Add(elapsed - began)
	}, nil
}

// sinceBoot returns the time since the machine booted, suspensions included.
func sinceBoot() (time.Duration, error) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, err
	}
	return time.Duration(reading.Nano()), nil
}
