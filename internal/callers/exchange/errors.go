package exchange

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrSurplus means that bytes came on an idle connection.
	ErrSurplus = merry.Sentinel("surplus bytes on a connection")
	// ErrTooManyConnections means that the bound on connections to an address is
	// reached.
	ErrTooManyConnections = merry.Sentinel("too many connections to the address")
	// ErrClosedByPeer means that an idle connection was found closed, or is about to be.
	ErrClosedByPeer = merry.Sentinel("connection closed by the peer")
)

// NotSentError is a request of which no byte was sent: it has not run.
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
