package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Only times of the same clock can be compared.
type Clock func() time.Time

// Since returns the time elapsed since at.
func (c Clock) Since(at time.Time) time.Duration { return c().Sub(at) }

// Until returns the time remaining until at.
func (c Clock) Until(at time.Time) time.Duration { return at.Sub(c()) }

// Monotonic is the process's monotonic clock, which stops while the machine is suspended. Tests
// use it because it follows the fake clock of testing/synctest.
var Monotonic = Clock(time.Now)

// UnreadableError reports that the boot-time clock cannot be read.
type UnreadableError struct{ Cause error }

// Error implements error.
func (e *UnreadableError) Error() string {
	return "cannot read boot-time clock: " + e.Cause.Error()
}

func (e *UnreadableError) Unwrap() error { return e.Cause }

// NewBootTime returns a clock that keeps counting while the machine is suspended and ignores
// changes of the wall clock. It starts at the wall-clock time of the call. The error is an
// *UnreadableError if the machine has no such clock.
func NewBootTime() (Clock, error) {
	start, err := sinceBoot()
	if err != nil {
		return nil, &UnreadableError{Cause: err}
	}
	// Round strips the monotonic reading, which would otherwise be used for comparisons.
	origin := time.Now().Round(0)
	return func() time.Time {
		elapsed, err := sinceBoot()
		if err != nil {
			// A clock that was readable once fails only on invalid arguments. The node must not
			// continue without it.
			panic(&UnreadableError{Cause: err})
		}
		return origin.Add(elapsed - start)
	}, nil
}

// sinceBoot returns the time since the machine booted, including suspensions.
func sinceBoot() (time.Duration, error) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, err
	}
	return time.Duration(reading.Nano()), nil
}
