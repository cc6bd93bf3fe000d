package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the instant of now. Instants of one clock may be compared with each other
// alone.
type Clock func() time.Time

// Since is how long ago an instant was.
func (c Clock) Since(at time.Time) time.Duration { return c().Sub(at) }

// Until is how far away an instant is.
func (c Clock) Until(at time.Time) time.Duration { return at.Sub(c()) }

// Steady is the clock that stands still while the machine is suspended, as tests on a
// virtual clock need it.
var Steady = Clock(time.Now)

// UnreadableError is a clock that the machine does not give.
type UnreadableError struct{ Cause error }

// Error gives the cause.
func (e *UnreadableError) Error() string {
	return "clock that counts suspensions cannot be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Boot returns a clock that counts the time in which the machine is suspended and does
// not follow steps of the time of day. It begins at the time of day of the call.
func Boot() (Clock, error) {
	began, err := sinceBoot()
	if err != nil {
		return nil, &UnreadableError{Cause: err}
	}
	// Round drops the steady reading, by which instants would be compared otherwise.
	origin := time.Now().Round(0)
	return func() time.Time {
		elapsed, err := sinceBoot()
		if err != nil {
			// It has been read before, and fails for bad arguments only. A node must not
			// go on without it.
			panic(&UnreadableError{Cause: err})
		}
		return origin.Add(elapsed - began)
	}, nil
}

// sinceBoot is for how long the machine has been up, suspended or not.
func sinceBoot() (time.Duration, error) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, err
	}
	return time.Duration(reading.Nano()), nil
}
