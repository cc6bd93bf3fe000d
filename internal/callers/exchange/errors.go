package exchange

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrSurplus means that bytes arrived on a connection that owed none.
	ErrSurplus = merry.Sentinel("surplus bytes on a connection")
	// ErrTooManyConnections means that this node has as many connections to an
	// address as it may have.
	ErrTooManyConnections = merry.Sentinel("too many connections to the address")
	// ErrClosedByPeer means that a kept connection was found closed.
	ErrClosedByPeer = merry.Sentinel("connection closed by the peer")
)

// NotSentError is a request of which no byte left this node: it has not run.
type NotSentError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError is a request that was sent, at least in part, and has no whole
// answer: it may have run.
type BrokenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("no whole answer from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }
