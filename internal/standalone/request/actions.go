package request

import (
	"time"

	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/stream"
	"github.com/pathtally/pathtally/internal/wire"
)

// Action is the next step for the driver of a Machine.
type Action interface{ action() }

// Claim requests a claim from the quorum before the first dispatch. The driver
// reports the result as ClaimResult.
type Claim struct{ Claim quorum.Claim }

// Dispatch asks the driver to pick an engine and send the request to it. The
// driver reports the engine's events, or NoEngine.
type Dispatch struct {
	Request engine.Request
	// Retry is true if the dispatch counts against the retry budget.
	Retry bool
}

// Forward sends tokens to the caller. The driver then waits for the next event.
type Forward struct{ Chunk engine.Chunk }

// Wait requires nothing but to wait for the next event.
type Wait struct{}

// Finish ends the request. A Machine returns it exactly once.
type Finish struct{ Result Result }

func (Claim) action()    {}
func (Dispatch) action() {}
func (Forward) action()  {}
func (Wait) action()     {}
func (Finish) action()   {}

// Result is the outcome of a request.
type Result struct {
	// Outcome is wire.OutcomeDone, OutcomeNotRun or OutcomeUnknown.
	Outcome  uint8
	Err      error
	Text     string
	Tokens   int
	Reason   string
	Segments []stream.Segment
	// StoredResponse is the stored response of an earlier request with the same
	// idempotency key.
	StoredResponse []byte
	// RetryAfter is the suggested delay before a retry; zero means none.
	RetryAfter time.Duration
	// Cancel is true if an engine may still be running the request.
	Cancel bool
}

// Succeeded reports whether the response is complete.
func (r Result) Succeeded() bool { return r.Outcome == wire.OutcomeDone }
