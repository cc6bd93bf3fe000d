package wire

import "fmt"

// FailureCode is the reason for a Failure.
type FailureCode uint16

const (
	CodeUnsupported FailureCode = iota + 1
	CodeProtocol
	CodeStaleToken
	CodeNotServing
	CodeStorage
)

// RemoteError is a Failure received from a peer.
type RemoteError struct {
	Code   FailureCode
	Detail string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer failed: code %d: %s", e.Code, e.Detail)
}

// FrameError reports a frame or listing that cannot be encoded or decoded, or is too large.
type FrameError struct {
	Detail string
	Cause  error
}

// Error implements error.
func (e *FrameError) Error() string {
	if e.Cause == nil {
		return "bad frame: " + e.Detail
	}
	return fmt.Sprintf("bad frame: %s: %v", e.Detail, e.Cause)
}

// Unwrap returns the underlying error, or nil.
func (e *FrameError) Unwrap() error { return e.Cause }
