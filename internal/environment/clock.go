package environment

import "time"

// Timer is a pending callback of Clock.AfterFunc.
type Timer interface {
	// Stop prevents the callback if it has not started.
	Stop()
}

// Clock provides the time and timers. Callbacks run on the goroutine of the duty.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// AfterFunc calls the callback after a delay.
	AfterFunc(delay time.Duration, callback func()) Timer
}
