package environment

import "time"

// Timer is a pending call of AfterFunc.
type Timer interface {
	// Stop prevents the call if it has not started.
	Stop()
}

// Clock gives the time, and calls back on the goroutine of the duty.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// AfterFunc calls back after a delay.
	AfterFunc(delay time.Duration, call func()) Timer
}
