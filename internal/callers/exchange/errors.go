package exchange

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrUnsolicitedData means that data arrived on an idle connection.
	ErrUnsolicitedData = merry.Sentinel("unsolicited data on idle connection")
	// ErrTooManyConnections means that the limit on connections to an address is
	// reached.
	ErrTooManyConnections = merry.Sentinel("connection limit reached")
	// ErrHeadTooLarge means that the head of a response exceeds maxHeadBytes.
	ErrHeadTooLarge = merry.Sentinel("head of the response is too large")
	// ErrClosedByPeer means that the peer has closed an idle connection, or may do so at
	// any time.
	ErrClosedByPeer = merry.Sentinel("idle connection closed by peer")
)

// NotSentError reports a request of which no byte was sent, so it has not run.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to %s: %v", e.Address, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// MayHaveRun returns false.
func (e *NotSentError) MayHaveRun() bool { return false }

// BrokenError reports a request that was sent, at least in part, but has no complete
// response, so it may have run.
type BrokenError struct {
	Address string
	Cause   error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("no complete response from %s: %v", e.Address, e.Cause)
}

func (e *BrokenError) Unwrap() error { return e.Cause }

// MayHaveRun returns true.
func (e *BrokenError) MayHaveRun() bool { return true }
