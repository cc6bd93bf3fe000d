package request

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/stream"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// DefaultAttempts is the default of Config.Attempts.
	DefaultAttempts = 3
	// defaultRetryAfter is used if no engine gave a retry delay.
	defaultRetryAfter = time.Second
)

// Config describes one request.
type Config struct {
	// Request is sent by each dispatch, with the dispatch number appended to
	// its ID and the resume fields set.
	Request engine.Request
	// Unsafe marks a request that must run at most once. Claim is its claim.
	Unsafe bool
	Claim  quorum.Claim
	// Attempts is the number of dispatches after which a failed dispatch is not
	// retried; zero means DefaultAttempts. Moves are not limited, but count.
	Attempts int
}

// Machine is the state machine of one request. It is not safe for concurrent
// use.
type Machine struct {
	config       Config
	assembler    stream.Assembler
	dispatches   int
	dispatchOpen bool
	mayHaveRun   bool
	ended        bool
	moved        engine.Moved
	lastError    *engine.Error
}

// New returns a machine that waits for Begin.
func New(config Config) *Machine {
	if config.Attempts == 0 {
		config.Attempts = DefaultAttempts
	}
	return &Machine{config: config}
}

// Handle takes one event and returns the next action.
func (m *Machine) Handle(event Event) Action {
	if m.ended {
		return Wait{}
	}
	switch typed := event.(type) {
	case Begin:
		if m.config.Unsafe {
			return Claim{Claim: m.config.Claim}
		}
		return m.dispatch(false)
	case ClaimResult:
		return m.handleClaim(typed)
	case engine.Chunk:
		return m.handleChunk(typed)
	case engine.End:
		return m.handleEnd(typed)
	case engine.Moved:
		return m.handleMoved(typed)
	case *engine.Error:
		return m.handleError(typed)
	case NoEngine:
		m.dispatchOpen = false
		return m.abort(typed.Err)
	case DeadlinePassed:
		return m.abort(merry.Wrap(ErrDeadline))
	case CallerGone:
		return m.abort(merry.Wrap(ErrCallerGone))
	}
	return Wait{}
}

// Claim returns the claim of an unsafe request.
func (m *Machine) Claim() quorum.Claim { return m.config.Claim }

// Segments returns the weight versions of the tokens received so far.
func (m *Machine) Segments() []stream.Segment { return m.assembler.Segments() }

// DispatchID returns the ID of the latest dispatch.
func (m *Machine) DispatchID() string {
	return fmt.Sprintf("%s.%d", m.config.Request.ID, m.dispatches)
}

// Tokens returns the number of tokens received so far.
func (m *Machine) Tokens() int { return m.assembler.Tokens() }

func (m *Machine) handleClaim(reply ClaimResult) Action {
	if reply.Err != nil {
		return m.finish(Result{Outcome: wire.OutcomeNotRun, Err: reply.Err, RetryAfter: defaultRetryAfter})
	}
	if reply.Result.Granted {
		return m.dispatch(false)
	}
	holder := reply.Result.Holder
	switch {
	case holder.Fingerprint != m.config.Claim.Fingerprint:
		return m.finish(Result{Outcome: wire.OutcomeNotRun, Err: merry.Wrap(ErrKeyReused)})
	case holder.Outcome == wire.OutcomeDone && len(holder.Answer) > 0:
		return m.finish(Result{Outcome: wire.OutcomeDone, StoredResponse: holder.Answer})
	}
	return m.finish(Result{Outcome: wire.OutcomeUnknown, Err: merry.Wrap(ErrStillRunning), RetryAfter: defaultRetryAfter})
}

// dispatch sends the request, resuming after the tokens received so far.
func (m *Machine) dispatch(retry bool) Action {
	m.dispatches++
	m.dispatchOpen = true
	next := m.config.Request
	next.ID = m.DispatchID()
	next.Resume = m.assembler.Text()
	next.ResumeTokens = m.assembler.Tokens()
	next.KVSource, next.KVHandle = m.moved.KVSource, m.moved.KVHandle
	m.moved = engine.Moved{}
	return Dispatch{Request: next, Retry: retry}
}

func (m *Machine) handleChunk(chunk engine.Chunk) Action {
	m.mayHaveRun = true
	if err := m.assembler.Add(chunk); err != nil {
		return m.handleError(&engine.Error{Kind: engine.Invalid, Detail: "chunk", Cause: err})
	}
	return Forward{Chunk: chunk}
}

func (m *Machine) handleEnd(end engine.End) Action {
	m.mayHaveRun = true
	if err := m.assembler.Finish(end); err != nil {
		return m.handleError(&engine.Error{Kind: engine.Invalid, Detail: "end", Cause: err})
	}
	m.dispatchOpen = false
	return m.finish(Result{Outcome: wire.OutcomeDone, Reason: end.Reason})
}

// handleMoved continues at another engine. The previous engine has stopped and
// handed the stream over, so this is safe for unsafe requests and not a retry.
func (m *Machine) handleMoved(moved engine.Moved) Action {
	m.mayHaveRun = true
	m.dispatchOpen = false
	m.moved = moved
	return m.dispatch(false)
}

func (m *Machine) handleError(failure *engine.Error) Action {
	m.dispatchOpen = false
	m.lastError = failure
	if failure.MayHaveRun() {
		m.mayHaveRun = true
	}
	if failure.Kind == engine.Invalid {
		return m.abort(failure)
	}
	if m.config.Unsafe && m.mayHaveRun {
		return m.abort(failure)
	}
	if m.dispatches >= m.config.Attempts {
		return m.abort(merry.Wrap(ErrAttemptsExhausted, merry.WithCause(failure)))
	}
	return m.dispatch(true)
}

// abort ends the request without success. The outcome is unknown if a dispatch
// may have run.
func (m *Machine) abort(err error) Action {
	result := Result{Outcome: wire.OutcomeNotRun, Err: err, RetryAfter: m.retryAfter(), Cancel: m.dispatchOpen}
	if m.mayHaveRun || m.dispatchOpen {
		result.Outcome = wire.OutcomeUnknown
	}
	return m.finish(result)
}

func (m *Machine) retryAfter() time.Duration {
	if m.lastError != nil && m.lastError.RetryAfter > 0 {
		return m.lastError.RetryAfter
	}
	return defaultRetryAfter
}

func (m *Machine) finish(result Result) Action {
	m.ended = true
	result.Text = m.assembler.Text()
	result.Tokens = m.assembler.Tokens()
	result.Segments = m.assembler.Segments()
	return Finish{Result: result}
}
