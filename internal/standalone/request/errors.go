package request

import "github.com/ansel1/merry/v2"

// Errors in a Result.
var (
	// ErrDeadline means that the deadline of the request passed.
	ErrDeadline = merry.Sentinel("deadline passed")
	// ErrCallerGone means that the caller closed its connection.
	ErrCallerGone = merry.Sentinel("caller gone")
	// ErrStillRunning means that an earlier request with the same key is
	// claimed and its outcome is not known.
	ErrStillRunning = merry.Sentinel("a request with the same key is running or its outcome is unknown")
	// ErrKeyReused means that an earlier request with the same key had another
	// body.
	ErrKeyReused = merry.Sentinel("the idempotency key was used with another body")
	// ErrAttemptsExhausted means that every allowed dispatch failed.
	ErrAttemptsExhausted = merry.Sentinel("all attempts failed")
)
