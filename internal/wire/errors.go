package wire

import "fmt"

// FailureCode is the typed reason in a Failure.
type FailureCode uint16

// The codes of a Failure.
const (
	CodeUnsupported FailureCode = iota + 1
	CodeProtocol
	CodeStaleToken
	CodeNotServing
	CodeStorage
)

// RemoteError is a Failure that a peer answered.
type RemoteError struct {
	Code   FailureCode
	Detail string
}

// Error gives code and detail.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer failed: code %d: %s", e.Code, e.Detail)
}

// FrameError is a frame that cannot be decoded or is too large.
type FrameError struct {
	Detail string
	Cause  error
}

// Error gives the detail and the cause.
func (e *FrameError) Error() string { return fmt.Sprintf("bad frame: %s: %v", e.Detail, e.Cause) }

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }
