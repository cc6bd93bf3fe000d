package forward

import "time"

const (
	// hedgeObjectiveShare is the part of the objective, between 0 and 1, after which a
	// repeatable request goes to a second replica as well.
	hedgeObjectiveShare = 0.5
	// maxRefusals bounds the attempts of one request at replicas that did not run it.
	maxRefusals = 12
	// roomRetryDelay is the time before replicas that turned a request away are tried
	// again, and roomRetryShare the part of the objective, between 0 and 1, up to which
	// they are.
	roomRetryDelay = 12 * time.Millisecond
	roomRetryShare = 0.2
)

// hedgeDelay returns how long the first attempt is waited for before a second is sent
// beside it.
func hedgeDelay(objective time.Duration) time.Duration {
	return time.Duration(hedgeObjectiveShare * float64(objective))
}

// event is what a decision follows.
type event string

const (
	// eventAnswered is an attempt with a whole answer of status below 500.
	eventAnswered event = "answered"
	// eventErrorStatus is an attempt with a whole answer of status 500 or above.
	eventErrorStatus event = "error status"
	// eventAttemptFailed is an attempt without a whole answer.
	eventAttemptFailed event = "attempt failed"
	// eventNoReplica is a pick that found no replica among those not tried.
	eventNoReplica event = "no replica"
	eventHedgeDue  event = "hedge due"
	// eventContextEnded is a deadline that has passed or a caller that has left.
	eventContextEnded event = "context ended"
)

// step is what to do next.
type step string

const (
	// stepSend picks a replica and sends the request to it.
	stepSend step = "send"
	// stepAwait waits for the attempts in progress.
	stepAwait step = "await"
	// stepWaitForRoom waits for roomRetryDelay, then tries all replicas again.
	stepWaitForRoom step = "wait for room"
	// stepAnswer returns the newest whole answer.
	stepAnswer step = "answer"
	// stepRefuse ends a request that has not run.
	stepRefuse step = "refuse"
	// stepLose ends a request that may have run.
	stepLose step = "lose"
	// stepExpire ends a request that may have run and has no time left.
	stepExpire step = "expire"
	// stepBreakOff ends a stream of which the caller has a part.
	stepBreakOff step = "break off"
)

// reason is why a step was decided.
type reason string

const (
	reasonAnswered     reason = "answered"
	reasonNotRepeated  reason = "may have run and must not run twice"
	reasonInProgress   reason = "another attempt is in progress"
	reasonQuarantined  reason = "replicas end under the request"
	reasonAttempts     reason = "attempt limit reached"
	reasonRefusals     reason = "refusal limit reached"
	reasonRetry        reason = "further attempt allowed"
	reasonHedge        reason = "first attempt is slow"
	reasonNoneEligible reason = "no replica is eligible"
	reasonAllTried     reason = "all replicas were tried"
	reasonWaited       reason = "waited for room long enough"
	reasonContextEnded reason = "context ended"
)

// situation is what a decision about a request with one answer depends on.
type situation struct {
	event event
	// repeatable is set if the request may run more than once.
	repeatable bool
	// attemptLimit is the route's bound on attempts.
	attemptLimit int
	// attempts is the number of attempts that run or may have run, and refusals
	// that of attempts that certainly did not.
	attempts, refusals int
	inProgress         int
	// tried is the number of replicas that the last pick left out.
	tried int
	// mayHaveRun is set once an attempt ended that may have run.
	mayHaveRun bool
	// quarantined is set if the last error refuses the request at every replica.
	quarantined bool
	// hasAnswer is set if there is a whole answer, of whatever status.
	hasAnswer    bool
	contextEnded bool
	// elapsed is the time since the request came.
	elapsed   time.Duration
	objective time.Duration
}

// decision is what to do next and why.
type decision struct {
	step step
	// refusal is the general reason for the caller, with stepRefuse.
	refusal string
	reason  reason
}

// next decides what follows an event of a request with one answer: a retry, a hedge, a wait, or the end.
func (s situation) next() decision {
	switch s.event {
	case eventAnswered:
		return decision{step: stepAnswer, reason: reasonAnswered}
	case eventErrorStatus:
		if !s.repeatable {
			return decision{step: stepAnswer, reason: reasonNotRepeated}
		}
		return s.afterFailure()
	case eventAttemptFailed:
		return s.afterFailure()
	case eventHedgeDue:
		return s.hedge()
	case eventNoReplica:
		return s.withoutReplica()
	}
	return s.giveUp(reasonContextEnded)
}

// afterFailure decides after an attempt that did not serve the request.
func (s situation) afterFailure() decision {
	switch {
	case s.inProgress > 0:
		return decision{step: stepAwait, reason: reasonInProgress}
	case s.mayHaveRun && !s.repeatable:
		return s.giveUp(reasonNotRepeated)
	case s.quarantined:
		return s.giveUp(reasonQuarantined)
	case s.attempts >= s.attemptLimit:
		return s.giveUp(reasonAttempts)
	case s.refusals >= maxRefusals:
		return s.giveUp(reasonRefusals)
	}
	return decision{step: stepSend, reason: reasonRetry}
}

// hedge decides once the first attempt is slow.
func (s situation) hedge() decision {
	switch {
	case !s.repeatable:
		return decision{step: stepAwait, reason: reasonNotRepeated}
	case s.attempts >= s.attemptLimit:
		return decision{step: stepAwait, reason: reasonAttempts}
	}
	return decision{step: stepSend, reason: reasonHedge}
}

// withoutReplica decides after a pick that found none.
func (s situation) withoutReplica() decision {
	switch {
	case s.inProgress > 0:
		return decision{step: stepAwait, reason: reasonInProgress}
	case s.attempts == 0 && s.refusals == 0:
		return decision{step: stepRefuse, refusal: ReasonNoReplica, reason: reasonNoneEligible}
	case s.tried == 0:
		return s.giveUp(reasonNoneEligible)
	case s.elapsed > time.Duration(roomRetryShare*float64(s.objective)):
		return s.giveUp(reasonWaited)
	}
	return decision{step: stepWaitForRoom, reason: reasonAllTried}
}

// giveUp ends the request: with the answer that there is, else as lost if it may have
// run, else as refused.
func (s situation) giveUp(why reason) decision {
	switch {
	case s.hasAnswer:
		return decision{step: stepAnswer, reason: why}
	case s.contextEnded && (s.mayHaveRun || s.inProgress > 0):
		return decision{step: stepExpire, reason: why}
	case s.mayHaveRun:
		return decision{step: stepLose, reason: why}
	case s.contextEnded:
		return decision{step: stepRefuse, refusal: ReasonExpired, reason: why}
	}
	return decision{step: stepRefuse, refusal: ReasonAllFull, reason: why}
}
