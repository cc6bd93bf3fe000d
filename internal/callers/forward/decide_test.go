package forward

import (
	"testing"
	"time"
)

func TestRequestStateNext(t *testing.T) {
	const objective = time.Second
	inTime, late := capacityRetryDelay, time.Duration(capacityRetryFraction*float64(objective))+1
	for name, test := range map[string]struct {
		state requestState
		want  decision
	}{
		"response":                            {requestState{event: eventResponse, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, hasResponse: true}, decision{stepRespond, "", reasonResponse}},
		"response, hedge in progress":         {requestState{event: eventResponse, repeatable: true, attemptLimit: 3, mayHaveRunCount: 2, inProgress: 1, hasResponse: true}, decision{stepRespond, "", reasonResponse}},
		"server error, repeatable":            {requestState{event: eventErrorStatus, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, hasResponse: true, mayHaveRun: true}, decision{stepSend, "", reasonRetry}},
		"server error, not repeatable":        {requestState{event: eventErrorStatus, attemptLimit: 3, mayHaveRunCount: 1, hasResponse: true, mayHaveRun: true}, decision{stepRespond, "", reasonNotRepeatable}},
		"server error, attempt limit":         {requestState{event: eventErrorStatus, repeatable: true, attemptLimit: 2, mayHaveRunCount: 2, hasResponse: true, mayHaveRun: true}, decision{stepRespond, "", reasonAttemptLimit}},
		"server error, hedge in progress":     {requestState{event: eventErrorStatus, repeatable: true, attemptLimit: 2, mayHaveRunCount: 2, inProgress: 1, hasResponse: true, mayHaveRun: true}, decision{stepAwait, "", reasonInProgress}},
		"broken, repeatable":                  {requestState{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, mayHaveRun: true}, decision{stepSend, "", reasonRetry}},
		"broken, not repeatable":              {requestState{event: eventAttemptFailed, attemptLimit: 3, mayHaveRunCount: 1, mayHaveRun: true}, decision{stepFailLost, "", reasonNotRepeatable}},
		"rejected":                            {requestState{event: eventAttemptFailed, attemptLimit: 3, rejections: 1}, decision{stepSend, "", reasonRetry}},
		"broken, attempt limit":               {requestState{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, mayHaveRunCount: 3, mayHaveRun: true}, decision{stepFailLost, "", reasonAttemptLimit}},
		"rejected, rejection limit":           {requestState{event: eventAttemptFailed, attemptLimit: 3, rejections: maxRejections}, decision{stepRefuse, ReasonAllFull, reasonRejectionLimit}},
		"rejected, below rejection limit":     {requestState{event: eventAttemptFailed, attemptLimit: 3, rejections: maxRejections - 1}, decision{stepSend, "", reasonRetry}},
		"quarantined":                         {requestState{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, rejections: 1, quarantined: true}, decision{stepRefuse, ReasonAllFull, reasonQuarantined}},
		"quarantined, may have run":           {requestState{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, rejections: 1, quarantined: true, mayHaveRun: true}, decision{stepFailLost, "", reasonQuarantined}},
		"quarantined, attempt in progress":    {requestState{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, rejections: 1, quarantined: true, inProgress: 1}, decision{stepAwait, "", reasonInProgress}},
		"hedge due":                           {requestState{event: eventHedgeDue, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, inProgress: 1}, decision{stepSend, "", reasonHedge}},
		"hedge due, not repeatable":           {requestState{event: eventHedgeDue, attemptLimit: 3, mayHaveRunCount: 1, inProgress: 1}, decision{stepAwait, "", reasonNotRepeatable}},
		"hedge due, attempt limit":            {requestState{event: eventHedgeDue, repeatable: true, attemptLimit: 1, mayHaveRunCount: 1, inProgress: 1}, decision{stepAwait, "", reasonAttemptLimit}},
		"no replica for the hedge":            {requestState{event: eventNoReplica, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, inProgress: 1, tried: 1}, decision{stepAwait, "", reasonInProgress}},
		"no replica at the first pick":        {requestState{event: eventNoReplica, attemptLimit: 3, objective: objective, elapsed: inTime}, decision{stepRefuse, ReasonNoReplica, reasonNoReplica}},
		"all tried, may wait":                 {requestState{event: eventNoReplica, attemptLimit: 3, rejections: 2, tried: 2, objective: objective, elapsed: inTime}, decision{stepWaitForCapacity, "", reasonAllTried}},
		"all tried, wait limit":               {requestState{event: eventNoReplica, attemptLimit: 3, rejections: 2, tried: 2, objective: objective, elapsed: late}, decision{stepRefuse, ReasonAllFull, reasonWaitLimit}},
		"no replica after a wait":             {requestState{event: eventNoReplica, attemptLimit: 3, rejections: 2, objective: objective, elapsed: inTime}, decision{stepRefuse, ReasonAllFull, reasonNoReplica}},
		"all tried, wait limit, server error": {requestState{event: eventNoReplica, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, tried: 1, hasResponse: true, mayHaveRun: true, objective: objective, elapsed: late}, decision{stepRespond, "", reasonWaitLimit}},
		"hedge due, overloaded":               {requestState{event: eventHedgeDue, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, inProgress: 1, overloaded: true}, decision{stepAwait, "", reasonNotAdmitted}},
		"not admitted, not run":               {requestState{event: eventNotAdmitted, attemptLimit: 3, rejections: 1}, decision{stepRefuse, ReasonAllFull, reasonNotAdmitted}},
		"not admitted, may have run":          {requestState{event: eventNotAdmitted, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, mayHaveRun: true}, decision{stepFailLost, "", reasonNotAdmitted}},
		"not admitted, attempt in progress":   {requestState{event: eventNotAdmitted, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, inProgress: 1}, decision{stepAwait, "", reasonInProgress}},
		"not admitted, server error":          {requestState{event: eventNotAdmitted, repeatable: true, attemptLimit: 3, mayHaveRunCount: 1, mayHaveRun: true, hasResponse: true}, decision{stepRespond, "", reasonNotAdmitted}},
		"context ended, attempt in progress":  {requestState{event: eventContextEnded, attemptLimit: 3, mayHaveRunCount: 1, inProgress: 1, contextEnded: true}, decision{stepFailExpired, "", reasonContextEnded}},
		"context ended, may have run":         {requestState{event: eventContextEnded, attemptLimit: 3, mayHaveRunCount: 1, mayHaveRun: true, contextEnded: true}, decision{stepFailExpired, "", reasonContextEnded}},
		"context ended, not run":              {requestState{event: eventContextEnded, attemptLimit: 3, rejections: 2, contextEnded: true}, decision{stepRefuse, ReasonExpired, reasonContextEnded}},
		"context ended, server error":         {requestState{event: eventContextEnded, repeatable: true, attemptLimit: 3, mayHaveRunCount: 2, inProgress: 1, hasResponse: true, mayHaveRun: true, contextEnded: true}, decision{stepRespond, "", reasonContextEnded}},
	} {
		if got := test.state.next(); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}

func TestStreamStateNext(t *testing.T) {
	for name, test := range map[string]struct {
		state streamState
		want  decision
	}{
		"broken, resumable":                         {streamState{event: eventAttemptFailed, resumable: true, attemptLimit: 3, failedAttempts: 1, tried: 1}, decision{stepSend, "", reasonRetry}},
		"broken, attempt limit, has events":         {streamState{event: eventAttemptFailed, resumable: true, attemptLimit: 3, failedAttempts: 3, tried: 3, headForwarded: true, hasEvents: true}, decision{stepSend, "", reasonRetry}},
		"broken, attempt limit, no events":          {streamState{event: eventAttemptFailed, resumable: true, attemptLimit: 3, failedAttempts: 3, tried: 3}, decision{stepFailLost, "", reasonAttemptLimit}},
		"broken, stream retry limit":                {streamState{event: eventAttemptFailed, resumable: true, attemptLimit: 9, failedAttempts: maxStreamRetries, tried: 1, headForwarded: true, hasEvents: true}, decision{stepAbortStream, "", reasonAttemptLimit}},
		"broken, not resumable":                     {streamState{event: eventAttemptFailed, attemptLimit: 3, failedAttempts: 1, tried: 1}, decision{stepFailLost, "", reasonNotRepeatable}},
		"broken, not resumable, head forwarded":     {streamState{event: eventAttemptFailed, attemptLimit: 3, failedAttempts: 1, tried: 1, headForwarded: true}, decision{stepAbortStream, "", reasonNotRepeatable}},
		"rejected":                                  {streamState{event: eventAttemptFailed, attemptLimit: 3, rejections: 1, tried: 1, notRun: true}, decision{stepSend, "", reasonRetry}},
		"rejected, rejection limit":                 {streamState{event: eventAttemptFailed, attemptLimit: 3, rejections: maxRejections, tried: 1, notRun: true}, decision{stepRefuse, ReasonAllFull, reasonRejectionLimit}},
		"quarantined":                               {streamState{event: eventAttemptFailed, resumable: true, attemptLimit: 3, tried: 1, notRun: true, quarantined: true}, decision{stepRefuse, ReasonAllFull, reasonQuarantined}},
		"context ended, may have run":               {streamState{event: eventAttemptFailed, resumable: true, attemptLimit: 3, failedAttempts: 1, tried: 1, contextEnded: true}, decision{stepFailExpired, "", reasonContextEnded}},
		"context ended, not run":                    {streamState{event: eventAttemptFailed, resumable: true, attemptLimit: 3, rejections: 1, tried: 1, notRun: true, contextEnded: true}, decision{stepRefuse, ReasonExpired, reasonContextEnded}},
		"context ended during a wait, not run":      {streamState{event: eventNoReplica, resumable: true, attemptLimit: 3, rejections: 1, contextEnded: true}, decision{stepRefuse, ReasonExpired, reasonNoReplica}},
		"no replica at the first pick":              {streamState{event: eventNoReplica, resumable: true, attemptLimit: 3}, decision{stepRefuse, ReasonNoReplica, reasonNoReplica}},
		"all tried":                                 {streamState{event: eventNoReplica, attemptLimit: 3, rejections: 2, tried: 2}, decision{stepWaitForCapacity, "", reasonAllTried}},
		"all tried, stream retry limit":             {streamState{event: eventNoReplica, resumable: true, attemptLimit: 3, rejections: 4, failedAttempts: 2, tried: 2, headForwarded: true}, decision{stepAbortStream, "", reasonNoReplica}},
		"no replica after a wait":                   {streamState{event: eventNoReplica, attemptLimit: 3, rejections: 2}, decision{stepRefuse, ReasonAllFull, reasonNoReplica}},
		"no replica after a wait, may have run":     {streamState{event: eventNoReplica, resumable: true, attemptLimit: 3, failedAttempts: 1}, decision{stepFailLost, "", reasonNoReplica}},
		"context ended during a wait, may have run": {streamState{event: eventNoReplica, resumable: true, attemptLimit: 3, failedAttempts: 1, contextEnded: true}, decision{stepFailExpired, "", reasonNoReplica}},
	} {
		if got := test.state.next(); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}
