package forward

// maxStreamRetries is the maximum number of times one stream is retried at another
// replica.
const maxStreamRetries = 6

// streamSituation is the input of a decision about a stream.
type streamSituation struct {
	// event is eventNoReplica or eventAttemptFailed.
	event event
	// resumable is set if the stream may be resumed at another replica.
	resumable bool
	// attemptLimit is the maximum number of attempts that the route allows before the
	// first event has been forwarded.
	attemptLimit int
	// failedAttempts is the number of failed attempts that may have run, refusals the
	// number of attempts that certainly did not run.
	failedAttempts, refusals int
	// tried is the number of replicas that the last pick skipped as already tried.
	tried int
	// notRun is set if the last attempt certainly did not run.
	notRun bool
	// quarantined is set if the last attempt failed because the request is quarantined,
	// so that no other replica accepts it either.
	quarantined bool
	// begun is set once the response head has been forwarded to the caller, hasEvents
	// once an event has.
	begun, hasEvents bool
	contextEnded     bool
}

// next selects the step that follows an event of a stream.
func (s streamSituation) next() decision {
	if s.event == eventNoReplica {
		return s.withoutReplica()
	}
	switch {
	case s.contextEnded:
		return s.giveUp(reasonContextEnded)
	case s.quarantined:
		return s.giveUp(reasonQuarantined)
	case s.notRun && s.refusals >= maxRefusals:
		return s.giveUp(reasonRefusals)
	case s.notRun:
		return decision{step: stepSend, reason: reasonRetry}
	case !s.resumable:
		return s.giveUp(reasonNotRepeated)
	case s.failedAttempts >= maxStreamRetries, s.failedAttempts >= s.attemptLimit && !s.hasEvents:
		return s.giveUp(reasonAttempts)
	}
	return decision{step: stepSend, reason: reasonRetry}
}

// withoutReplica selects the step after a pick that found no eligible replica.
func (s streamSituation) withoutReplica() decision {
	if s.tried > 0 && s.refusals+s.failedAttempts < maxStreamRetries {
		return decision{step: stepWaitForRoom, reason: reasonAllTried}
	}
	return s.giveUp(reasonNoneEligible)
}

// giveUp ends the stream: as aborted if the caller has the response head, and otherwise as
// lost if it may have run, or as refused if it did not.
func (s streamSituation) giveUp(why reason) decision {
	switch {
	case s.begun:
		return decision{step: stepBreakOff, reason: why}
	case s.failedAttempts > 0 && s.contextEnded:
		return decision{step: stepExpire, reason: why}
	case s.failedAttempts > 0:
		return decision{step: stepLose, reason: why}
	case s.tried == 0 && s.refusals == 0:
		return decision{step: stepRefuse, refusal: ReasonNoReplica, reason: why}
	}
	return decision{step: stepRefuse, refusal: ReasonAllFull, reason: why}
}
