package request

import (
	"time"

	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/stream"
	"github.com/pathtally/pathtally/internal/wire"
)

// Action is what the driver has to do next.
type Action interface{ action() }

// Claim asks the quorum for leave to dispatch; answer with ClaimAnswered.
type Claim struct{ Claim quorum.Claim }

// Dispatch asks for an engine to be picked and the request to be sent; answer
// with the engine's events, or with NoEngine.
type Dispatch struct {
	Request engine.Request
	// Retry is true when the dispatch must be paid from the retry budget.
	Retry bool
}

// Forward hands tokens to the caller; the driver goes on reading.
type Forward struct{ Chunk engine.Chunk }

// Wait means that nothing is to be done.
type Wait struct{}

// Finish ends the request. It comes exactly once.
type Finish struct{ Result Result }

func (Claim) action()    {}
func (Dispatch) action() {}
func (Forward) action()  {}
func (Wait) action()     {}
func (Finish) action()   {}

// Result is how a request ended.
type Result struct {
	// Outcome is wire.OutcomeDone, OutcomeNotRun or OutcomeUnknown.
	Outcome  uint8
	Err      error
	Text     string
	Tokens   int
	Reason   string
	Segments []stream.Segment
	// Stored is the answer of an earlier attempt with the same key.
	Stored []byte
	// RetryAfter says when to come back; zero when there is no use.
	RetryAfter time.Duration
	// Cancel means that an engine may still be at work on the request.
	Cancel bool
}

// Done tells whether the answer is whole.
func (r Result) Done() bool { return r.Outcome == wire.OutcomeDone }
