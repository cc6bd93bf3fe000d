package request

import "github.com/ansel1/merry/v2"

// Errors in a Result.
var (
	// ErrDeadline means that the time of the request was up.
	ErrDeadline = merry.Sentinel("deadline passed")
	// ErrCallerGone means that the caller closed its connection.
	ErrCallerGone = merry.Sentinel("caller gone")
	// ErrStillRunning means that an earlier request with the same key has
	// been dispatched and its outcome is not known yet.
	ErrStillRunning = merry.Sentinel("a request with the same key is running or its outcome is unknown")
	// ErrKeyReused means that the key was used with another body.
	ErrKeyReused = merry.Sentinel("the idempotency key was used with another body")
	// ErrAttemptsExhausted means that every allowed dispatch failed.
	ErrAttemptsExhausted = merry.Sentinel("all attempts failed")
)
