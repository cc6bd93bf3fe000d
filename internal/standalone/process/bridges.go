package process

import (
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
)

// loopClaims lets the request workers use the quorum client on the loop.
type loopClaims struct{ process *Process }

// Grant implements gateway.Claims.
func (c loopClaims) Grant(claim quorum.Claim, done func(quorum.GrantResult, error)) {
	c.process.loop.Post(func() { c.process.core.Quorum().Grant(claim, done) })
}

// Complete implements gateway.Claims.
func (c loopClaims) Complete(claim quorum.Claim, outcome uint8, answer []byte) {
	c.process.loop.Post(func() { c.process.core.Quorum().Complete(claim, outcome, answer) })
}

// Withdraw implements gateway.Claims.
func (c loopClaims) Withdraw(claim quorum.Claim) {
	c.process.loop.Post(func() { c.process.core.Quorum().Withdraw(claim) })
}

// loopTrainers lets the request workers use the schedulers on the loop.
type loopTrainers struct{ process *Process }

// Submit implements gateway.Trainers.
func (t loopTrainers) Submit(trainer string, request rollout.StepRequest, done func(error)) {
	t.process.loop.Post(func() { done(t.process.core.SubmitStep(trainer, request)) })
}

// Fetch implements gateway.Trainers.
func (t loopTrainers) Fetch(trainer string, step uint64, trainVersion int64, done func([]byte, error)) func() {
	cancel := func() {}
	t.process.loop.Post(func() { cancel = t.process.core.FetchStep(trainer, step, trainVersion, done) })
	return func() { t.process.loop.Post(func() { cancel() }) }
}

// Acknowledge implements gateway.Trainers.
func (t loopTrainers) Acknowledge(trainer string, step uint64, done func(error)) {
	t.process.loop.Post(func() { done(t.process.core.AcknowledgeStep(trainer, step)) })
}
