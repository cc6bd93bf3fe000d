package environment

import "time"

// Timer is a pending call of AfterFunc.
type Timer interface {
	// Stop prevents the call if it has not started.
	Stop()
}

// Clock tells the time and calls back on the duty's goroutine.
type Clock interface {
	Now() time.Time
	AfterFunc(delay time.Duration, call func()) Timer
}
