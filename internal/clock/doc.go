// Package clock provides a clock that keeps counting while the machine is suspended.
//
// Whatever a node proves to others by time (that its lease is still held, that an allotment
// has not expired, that a copy is current) must use such a clock: after a suspension, the
// process's monotonic clock would make it look younger than it is.
package clock
