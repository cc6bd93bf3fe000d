package request

import "github.com/pathtally/pathtally/internal/standalone/quorum"

// Event is an input of the machine: one of the types in this file, or an
// engine.Chunk, engine.End, engine.Moved or *engine.Error.
type Event any

// Begin starts the machine.
type Begin struct{}

// ClaimResult is the result of a Claim.
type ClaimResult struct {
	Result quorum.GrantResult
	Err    error
}

// NoEngine means that no engine could be picked.
type NoEngine struct{ Err error }

// DeadlinePassed means that the deadline of the request passed.
type DeadlinePassed struct{}

// CallerGone means that the caller no longer waits for the response.
type CallerGone struct{}
