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
	// DefaultAttempts is how many dispatches a request may have.
	DefaultAttempts = 3
	// defaultRetryAfter is the advice when no engine gave any.
	defaultRetryAfter = time.Second
)

// Config describes one request.
type Config struct {
	// Request is the first dispatch; its ID gets a suffix for each dispatch.
	Request engine.Request
	// Unsafe marks a request that must run at most once; Claim names it.
	Unsafe bool
	Claim  quorum.Claim
	// Attempts bounds the dispatches; zero means DefaultAttempts.
	Attempts int
}

// Machine is the state of one request. It belongs to one goroutine.
type Machine struct {
	config     Config
	assembler  stream.Assembler
	dispatches int
	open       bool
	mayHaveRun bool
	ended      bool
	moved      engine.Moved
	lastError  *engine.Error
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
	case ClaimAnswered:
		return m.claimed(typed)
	case engine.Chunk:
		return m.chunk(typed)
	case engine.End:
		return m.end(typed)
	case engine.Moved:
		return m.move(typed)
	case *engine.Error:
		return m.failed(typed)
	case NoEngine:
		m.open = false
		return m.giveUp(typed.Err)
	case DeadlinePassed:
		return m.giveUp(merry.Wrap(ErrDeadline))
	case CallerGone:
		return m.giveUp(merry.Wrap(ErrCallerGone))
	}
	return Wait{}
}

// Claim returns the claim of an unsafe request.
func (m *Machine) Claim() quorum.Claim { return m.config.Claim }

// Segments returns the versions of the tokens so far.
func (m *Machine) Segments() []stream.Segment { return m.assembler.Segments() }

// DispatchID is the id of the newest dispatch.
func (m *Machine) DispatchID() string {
	return fmt.Sprintf("%s.%d", m.config.Request.ID, m.dispatches)
}

// Tokens returns how many tokens have arrived.
func (m *Machine) Tokens() int { return m.assembler.Tokens() }

func (m *Machine) claimed(answer ClaimAnswered) Action {
	if answer.Err != nil {
		return m.finish(Result{Outcome: wire.OutcomeNotRun, Err: answer.Err, RetryAfter: defaultRetryAfter})
	}
	if answer.Result.Granted {
		return m.dispatch(false)
	}
	holder := answer.Result.Holder
	switch {
	case holder.Fingerprint != m.config.Claim.Fingerprint:
		return m.finish(Result{Outcome: wire.OutcomeNotRun, Err: merry.Wrap(ErrKeyReused)})
	case holder.Outcome == wire.OutcomeDone && len(holder.Answer) > 0:
		return m.finish(Result{Outcome: wire.OutcomeDone, Stored: holder.Answer})
	}
	return m.finish(Result{Outcome: wire.OutcomeUnknown, Err: merry.Wrap(ErrStillRunning), RetryAfter: defaultRetryAfter})
}

// dispatch sends the request, from where the last stream stopped.
func (m *Machine) dispatch(retry bool) Action {
	m.dispatches++
	m.open = true
	next := m.config.Request
	next.ID = m.DispatchID()
	next.Resume = m.assembler.Text()
	next.ResumeTokens = m.assembler.Tokens()
	next.KVSource, next.KVHandle = m.moved.KVSource, m.moved.KVHandle
	m.moved = engine.Moved{}
	return Dispatch{Request: next, Retry: retry}
}

func (m *Machine) chunk(chunk engine.Chunk) Action {
	m.mayHaveRun = true
	if err := m.assembler.Add(chunk); err != nil {
		return m.failed(&engine.Error{Kind: engine.Invalid, Detail: "chunk", Cause: err})
	}
	return Forward{Chunk: chunk}
}

func (m *Machine) end(end engine.End) Action {
	m.mayHaveRun = true
	if err := m.assembler.Finish(end); err != nil {
		return m.failed(&engine.Error{Kind: engine.Invalid, Detail: "end", Cause: err})
	}
	m.open = false
	return m.finish(Result{Outcome: wire.OutcomeDone, Reason: end.Reason})
}

// move goes on elsewhere. The engine has stopped and handed the stream over,
// so this is safe for every request and is not a retry.
func (m *Machine) move(moved engine.Moved) Action {
	m.mayHaveRun = true
	m.open = false
	m.moved = moved
	return m.dispatch(false)
}

func (m *Machine) failed(failure *engine.Error) Action {
	m.open = false
	m.lastError = failure
	if failure.MayHaveRun() {
		m.mayHaveRun = true
	}
	if failure.Kind == engine.Invalid {
		return m.giveUp(failure)
	}
	if m.config.Unsafe && m.mayHaveRun {
		return m.giveUp(failure)
	}
	if m.dispatches >= m.config.Attempts {
		return m.giveUp(merry.Wrap(ErrAttemptsExhausted, merry.WithCause(failure)))
	}
	return m.dispatch(true)
}

// giveUp ends the request at once with what is known.
func (m *Machine) giveUp(err error) Action {
	result := Result{Outcome: wire.OutcomeNotRun, Err: err, RetryAfter: m.retryAfter(), Cancel: m.open}
	if m.mayHaveRun || m.open {
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
