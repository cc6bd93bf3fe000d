// Package clock gives instants by a clock that goes on while the machine is suspended.
//
// Whatever a node proves to others by time (that a lease still holds, that an allotment
// has not run out, that a copy is current) reads such a clock; docs/design says which.
package clock
