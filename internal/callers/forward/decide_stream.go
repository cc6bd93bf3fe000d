package forward

// maxStreamRetries bounds how often one stream goes on at a further replica.
const maxStreamRetries = 6

// streamSituation is what a decision about a stream depends on.
type streamSituation struct {
	// event is eventNoReplica or eventAttemptFailed.
	event event
	// resumable is set if the stream may go on at another replica.
	resumable bool
	// attemptLimit is the route's bound on attempts before the first event.
	attemptLimit int
	// failedAttempts is the number of ended attempts that may have run, and refusals
	// that of attempts that certainly did not.
	failedAttempts, refusals int
	// tried is the number of replicas that the last pick left out.
	tried int
	// notRun is set if the newest attempt certainly did not run.
	notRun bool
	// quarantined is set if the newest error refuses the request at every replica.
	quarantined bool
	// begun is set once the caller has the head of the answer, and hasEvents once it
	// has an event.
	begun, hasEvents bool
	contextEnded     bool
}

// next decides what follows: a further attempt, a wait, or the end.
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

// withoutReplica decides after a pick that found none.
func (s streamSituation) withoutReplica() decision {
	if s.tried > 0 && s.refusals+s.failedAttempts < maxStreamRetries {
		return decision{step: stepWaitForRoom, reason: reasonAllTried}
	}
	return s.giveUp(reasonNoneEligible)
}

// giveUp ends the stream: as broken off if the caller has a part of it, else as lost if
// it may have run, else as refused.
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
