package forward

import "time"

const (
	// hedgeObjectiveFraction is the fraction of the latency objective after which a
	// repeatable request is also sent to a second replica.
	hedgeObjectiveFraction = 0.5
	// maxRejections is the maximum number of attempts of one request that certainly did
	// not run.
	maxRejections = 12
	// capacityRetryDelay is the delay before all replicas are tried again once each has been
	// tried. capacityRetryFraction is the fraction of the latency objective after which a
	// request is no longer retried in this way.
	capacityRetryDelay    = 12 * time.Millisecond
	capacityRetryFraction = 0.2
)

// hedgeDelay returns how long the first attempt may take before a second one is started
// in parallel.
func hedgeDelay(objective time.Duration) time.Duration {
	return time.Duration(hedgeObjectiveFraction * float64(objective))
}

// event is what triggers a decision.
type event string

const (
	// eventResponse: an attempt returned a complete response with a status below 500.
	eventResponse event = "response"
	// eventErrorStatus: an attempt returned a complete response with a status of 500 or
	// above.
	eventErrorStatus event = "error status"
	// eventAttemptFailed: an attempt ended without a complete response.
	eventAttemptFailed event = "attempt failed"
	// eventNoReplica: no eligible replica was found among those not yet tried.
	eventNoReplica event = "no replica"
	// eventNotAdmitted: the service's queue or its retry budget allows no further attempt.
	eventNotAdmitted event = "not admitted"
	// eventHedgeDue: hedgeDelay has passed.
	eventHedgeDue event = "hedge due"
	// eventContextEnded: the deadline passed or the caller disconnected.
	eventContextEnded event = "context ended"
)

// step is the action that a decision selects.
type step string

const (
	// stepSend picks a replica and sends the request to it.
	stepSend step = "send"
	// stepAwait waits for the next event of the attempts in progress.
	stepAwait step = "await"
	// stepWaitForCapacity waits for capacityRetryDelay, then tries all replicas again.
	stepWaitForCapacity step = "wait for capacity"
	// stepRespond returns the most recent complete response to the caller.
	stepRespond step = "respond"
	// stepRefuse fails a request that certainly did not run.
	stepRefuse step = "refuse"
	// stepFailLost fails a request that may have run.
	stepFailLost step = "fail as lost"
	// stepFailExpired fails a request that may have run and whose context has ended.
	stepFailExpired step = "fail as expired"
	// stepAbortStream aborts a stream whose response head the caller already has.
	stepAbortStream step = "abort stream"
)

// reason says why a step was selected. It is logged.
type reason string

const (
	reasonResponse       reason = "response received"
	reasonNotRepeatable  reason = "may have run and must not run twice"
	reasonInProgress     reason = "another attempt is in progress"
	reasonQuarantined    reason = "request is quarantined"
	reasonAttemptLimit   reason = "attempt limit reached"
	reasonRejectionLimit reason = "rejection limit reached"
	reasonRetry          reason = "further attempt allowed"
	reasonHedge          reason = "first attempt is slow"
	reasonNoReplica      reason = "no replica is eligible"
	reasonAllTried       reason = "all replicas were tried"
	reasonWaitLimit      reason = "waited for capacity long enough"
	reasonContextEnded   reason = "context ended"
	reasonNotAdmitted    reason = "service is overloaded"
)

// requestState is the input of a decision about a request with a buffered response.
type requestState struct {
	event event
	// repeatable is set if the request may run more than once.
	repeatable bool
	// attemptLimit is the maximum number of attempts that the route allows.
	attemptLimit int
	// mayHaveRunCount is the number of attempts that are running or may have run,
	// rejections the number of attempts that certainly did not run.
	mayHaveRunCount, rejections int
	// inProgress is the number of attempts that have not ended.
	inProgress int
	// tried is the number of replicas that the last pick skipped as already tried.
	tried int
	// mayHaveRun is set once an attempt that may have run has ended.
	mayHaveRun bool
	// quarantined is set if the last attempt failed because the request is quarantined,
	// so that no other replica accepts it either.
	quarantined bool
	// overloaded is set if requests of the service wait or a limit of it is reduced.
	overloaded bool
	// hasResponse is set if there is a complete response, whatever its status.
	hasResponse  bool
	contextEnded bool
	// elapsed is the time since the request arrived.
	elapsed time.Duration
	// objective is the latency objective of the route.
	objective time.Duration
}

// decision is the next step and the reason for it.
type decision struct {
	step step
	// refusal is the reason that the caller is given; set only with stepRefuse.
	// newRefusal may replace it by a more specific one.
	refusal string
	reason  reason
}

// next selects the step that follows an event of a request with a buffered response.
func (s requestState) next() decision {
	switch s.event {
	case eventResponse:
		return decision{step: stepRespond, reason: reasonResponse}
	case eventErrorStatus:
		if !s.repeatable {
			return decision{step: stepRespond, reason: reasonNotRepeatable}
		}
		return s.afterFailure()
	case eventAttemptFailed:
		return s.afterFailure()
	case eventHedgeDue:
		return s.afterHedgeDue()
	case eventNoReplica:
		return s.afterNoReplica()
	case eventNotAdmitted:
		return s.afterNotAdmitted()
	}
	return s.giveUp(reasonContextEnded)
}

// afterFailure selects the step after an attempt that failed or returned a server error.
func (s requestState) afterFailure() decision {
	switch {
	case s.inProgress > 0:
		return decision{step: stepAwait, reason: reasonInProgress}
	case s.mayHaveRun && !s.repeatable:
		return s.giveUp(reasonNotRepeatable)
	case s.quarantined:
		return s.giveUp(reasonQuarantined)
	case s.mayHaveRunCount >= s.attemptLimit:
		return s.giveUp(reasonAttemptLimit)
	case s.rejections >= maxRejections:
		return s.giveUp(reasonRejectionLimit)
	}
	return decision{step: stepSend, reason: reasonRetry}
}

// afterHedgeDue selects the step once hedgeDelay has passed.
func (s requestState) afterHedgeDue() decision {
	switch {
	case !s.repeatable:
		return decision{step: stepAwait, reason: reasonNotRepeatable}
	case s.mayHaveRunCount >= s.attemptLimit:
		return decision{step: stepAwait, reason: reasonAttemptLimit}
	case s.overloaded:
		return decision{step: stepAwait, reason: reasonNotAdmitted}
	}
	return decision{step: stepSend, reason: reasonHedge}
}

// afterNotAdmitted selects the step after the service's queue or retry budget refused a
// further attempt.
func (s requestState) afterNotAdmitted() decision {
	if s.inProgress > 0 {
		return decision{step: stepAwait, reason: reasonInProgress}
	}
	return s.giveUp(reasonNotAdmitted)
}

// afterNoReplica selects the step after a pick that found no eligible replica.
func (s requestState) afterNoReplica() decision {
	switch {
	case s.inProgress > 0:
		return decision{step: stepAwait, reason: reasonInProgress}
	case s.mayHaveRunCount == 0 && s.rejections == 0:
		return decision{step: stepRefuse, refusal: ReasonNoReplica, reason: reasonNoReplica}
	case s.tried == 0:
		return s.giveUp(reasonNoReplica)
	case s.elapsed > time.Duration(capacityRetryFraction*float64(s.objective)):
		return s.giveUp(reasonWaitLimit)
	}
	return decision{step: stepWaitForCapacity, reason: reasonAllTried}
}

// giveUp ends the request: it returns the response if there is one, and otherwise reports
// the request as lost if it may have run, or as refused if it did not.
func (s requestState) giveUp(why reason) decision {
	switch {
	case s.hasResponse:
		return decision{step: stepRespond, reason: why}
	case s.contextEnded && (s.mayHaveRun || s.inProgress > 0):
		return decision{step: stepFailExpired, reason: why}
	case s.mayHaveRun:
		return decision{step: stepFailLost, reason: why}
	case s.contextEnded:
		return decision{step: stepRefuse, refusal: ReasonExpired, reason: why}
	}
	return decision{step: stepRefuse, refusal: ReasonAllFull, reason: why}
}
