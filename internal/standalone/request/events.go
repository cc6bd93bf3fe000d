package request

import "github.com/pathtally/pathtally/internal/standalone/quorum"

// Event is what the driver tells the machine; besides the types here it is an
// engine.Chunk, engine.End, engine.Moved or *engine.Error.
type Event any

// Begin starts the machine.
type Begin struct{}

// ClaimAnswered is the answer to a Claim.
type ClaimAnswered struct {
	Result quorum.GrantResult
	Err    error
}

// NoEngine means that no engine could be picked.
type NoEngine struct{ Err error }

// DeadlinePassed means that the request's time is up.
type DeadlinePassed struct{}

// CallerGone means that nobody waits for the answer any more.
type CallerGone struct{}
