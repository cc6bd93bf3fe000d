// Package clock provides a clock that keeps counting while the machine is suspended.
//
// Code that relies on elapsed time for safety, such as checks that a lease is still held, that
// an allotment has not expired or that a cached copy is current, must use this clock. The
// process's monotonic clock stops during a suspension, so that such items would appear younger
// than they are.
package clock
