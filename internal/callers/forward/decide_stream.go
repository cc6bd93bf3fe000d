package forward

// maxStreamRetries is the maximum number of times one stream is retried at another
// replica.
const maxStreamRetries = 6

// streamState is the input of a decision about a stream.
type streamState struct {
	// event is eventNoReplica or eventAttemptFailed.
	event event
	// resumable is set if the stream may be resumed at another replica.
	resumable bool
	// attemptLimit is the maximum number of attempts that the route allows before the
	// first event has been forwarded.
	attemptLimit int
	// failedAttempts is the number of failed attempts that may have run, rejections
	// the number of attempts that certainly did not run.
	failedAttempts, rejections int
	// tried is the number of replicas that the last pick skipped as already tried.
	tried int
	// notRun is set if the last attempt certainly did not run.
	notRun bool
	// quarantined is set if the last attempt failed because the request is quarantined,
	// so that no other replica accepts it either.
	quarantined bool
	// headForwarded is set once the response head has been forwarded to the caller,
	// hasEvents once an event has.
	headForwarded, hasEvents bool
	contextEnded             bool
}

// next selects the step that follows an event of a stream.
func (s streamState) next() decision {
	if s.event == eventNoReplica {
		return s.afterNoReplica()
	}
	switch {
	case s.contextEnded:
		return s.giveUp(reasonContextEnded)
	case s.quarantined:
		return s.giveUp(reasonQuarantined)
	case s.notRun && s.rejections >= maxRejections:
		return s.giveUp(reasonRejectionLimit)
	case s.notRun:
		return decision{step: stepSend, reason: reasonRetry}
	case !s.resumable:
		return s.giveUp(reasonNotRepeatable)
	case s.failedAttempts >= maxStreamRetries, s.failedAttempts >= s.attemptLimit && !s.hasEvents:
		return s.giveUp(reasonAttemptLimit)
	}
	return decision{step: stepSend, reason: reasonRetry}
}

// afterNoReplica selects the step after a pick that found no eligible replica.
func (s streamState) afterNoReplica() decision {
	if s.tried > 0 && s.rejections+s.failedAttempts < maxStreamRetries {
		return decision{step: stepWaitForCapacity, reason: reasonAllTried}
	}
	return s.giveUp(reasonNoReplica)
}

// giveUp ends the stream: as aborted if the caller has the response head, and otherwise as
// lost if it may have run, or as refused if it did not.
func (s streamState) giveUp(why reason) decision {
	switch {
	case s.headForwarded:
		return decision{step: stepAbortStream, reason: why}
	case s.failedAttempts > 0 && s.contextEnded:
		return decision{step: stepFailExpired, reason: why}
	case s.failedAttempts > 0:
		return decision{step: stepFailLost, reason: why}
	case s.contextEnded:
		return decision{step: stepRefuse, refusal: ReasonExpired, reason: why}
	case s.tried == 0 && s.rejections == 0:
		return decision{step: stepRefuse, refusal: ReasonNoReplica, reason: why}
	}
	return decision{step: stepRefuse, refusal: ReasonAllFull, reason: why}
}
