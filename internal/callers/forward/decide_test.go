package forward

import (
	"testing"
	"time"
)

func TestDecisionsAboutARequest(t *testing.T) {
	const objective = time.Second
	inTime, late := roomRetryDelay, time.Duration(roomRetryShare*float64(objective))+1
	for name, test := range map[string]struct {
		given situation
		want  decision
	}{
		"an answer ends it":                  {situation{event: eventAnswered, repeatable: true, attemptLimit: 3, attempts: 1, hasAnswer: true}, decision{stepAnswer, "", reasonAnswered}},
		"also beside a hedge":                {situation{event: eventAnswered, repeatable: true, attemptLimit: 3, attempts: 2, inProgress: 1, hasAnswer: true}, decision{stepAnswer, "", reasonAnswered}},
		"an error status is retried":         {situation{event: eventErrorStatus, repeatable: true, attemptLimit: 3, attempts: 1, hasAnswer: true, mayHaveRun: true}, decision{stepSend, "", reasonRetry}},
		"but not if it must run once":        {situation{event: eventErrorStatus, attemptLimit: 3, attempts: 1, hasAnswer: true, mayHaveRun: true}, decision{stepAnswer, "", reasonNotRepeated}},
		"nor beyond the limit":               {situation{event: eventErrorStatus, repeatable: true, attemptLimit: 2, attempts: 2, hasAnswer: true, mayHaveRun: true}, decision{stepAnswer, "", reasonAttempts}},
		"it leaves a hedge its chance":       {situation{event: eventErrorStatus, repeatable: true, attemptLimit: 2, attempts: 2, inProgress: 1, hasAnswer: true, mayHaveRun: true}, decision{stepAwait, "", reasonInProgress}},
		"a broken attempt is retried":        {situation{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, attempts: 1, mayHaveRun: true}, decision{stepSend, "", reasonRetry}},
		"but not if it must run once, again": {situation{event: eventAttemptFailed, attemptLimit: 3, attempts: 1, mayHaveRun: true}, decision{stepLose, "", reasonNotRepeated}},
		"a promise allows another attempt":   {situation{event: eventAttemptFailed, attemptLimit: 3, refusals: 1}, decision{stepSend, "", reasonRetry}},
		"up to the attempt limit":            {situation{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, attempts: 3, mayHaveRun: true}, decision{stepLose, "", reasonAttempts}},
		"up to the refusal limit":            {situation{event: eventAttemptFailed, attemptLimit: 3, refusals: maxRefusals}, decision{stepRefuse, ReasonAllFull, reasonRefusals}},
		"just below the refusal limit":       {situation{event: eventAttemptFailed, attemptLimit: 3, refusals: maxRefusals - 1}, decision{stepSend, "", reasonRetry}},
		"a quarantine ends it":               {situation{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, refusals: 1, quarantined: true}, decision{stepRefuse, ReasonAllFull, reasonQuarantined}},
		"as lost if it may have run":         {situation{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, attempts: 1, refusals: 1, quarantined: true, mayHaveRun: true}, decision{stepLose, "", reasonQuarantined}},
		"a hedge in progress goes on":        {situation{event: eventAttemptFailed, repeatable: true, attemptLimit: 3, attempts: 1, refusals: 1, quarantined: true, inProgress: 1}, decision{stepAwait, "", reasonInProgress}},
		"a slow request is hedged":           {situation{event: eventHedgeDue, repeatable: true, attemptLimit: 3, attempts: 1, inProgress: 1}, decision{stepSend, "", reasonHedge}},
		"but not if it must run once, slow":  {situation{event: eventHedgeDue, attemptLimit: 3, attempts: 1, inProgress: 1}, decision{stepAwait, "", reasonNotRepeated}},
		"nor beyond the limit, slow":         {situation{event: eventHedgeDue, repeatable: true, attemptLimit: 1, attempts: 1, inProgress: 1}, decision{stepAwait, "", reasonAttempts}},
		"a hedge needs a replica":            {situation{event: eventNoReplica, repeatable: true, attemptLimit: 3, attempts: 1, inProgress: 1, tried: 1}, decision{stepAwait, "", reasonInProgress}},
		"none at the first pick":             {situation{event: eventNoReplica, attemptLimit: 3, objective: objective, elapsed: inTime}, decision{stepRefuse, ReasonNoReplica, reasonNoneEligible}},
		"all tried, in time":                 {situation{event: eventNoReplica, attemptLimit: 3, refusals: 2, tried: 2, objective: objective, elapsed: inTime}, decision{stepWaitForRoom, "", reasonAllTried}},
		"all tried, late":                    {situation{event: eventNoReplica, attemptLimit: 3, refusals: 2, tried: 2, objective: objective, elapsed: late}, decision{stepRefuse, ReasonAllFull, reasonWaited}},
		"none after a wait":                  {situation{event: eventNoReplica, attemptLimit: 3, refusals: 2, objective: objective, elapsed: inTime}, decision{stepRefuse, ReasonAllFull, reasonNoneEligible}},
		"late with an error status":          {situation{event: eventNoReplica, repeatable: true, attemptLimit: 3, attempts: 1, tried: 1, hasAnswer: true, mayHaveRun: true, objective: objective, elapsed: late}, decision{stepAnswer, "", reasonWaited}},
		"time over during an attempt":        {situation{event: eventContextEnded, attemptLimit: 3, attempts: 1, inProgress: 1, contextEnded: true}, decision{stepExpire, "", reasonContextEnded}},
		"time over after one":                {situation{event: eventContextEnded, attemptLimit: 3, attempts: 1, mayHaveRun: true, contextEnded: true}, decision{stepExpire, "", reasonContextEnded}},
		"time over, not run":                 {situation{event: eventContextEnded, attemptLimit: 3, refusals: 2, contextEnded: true}, decision{stepRefuse, ReasonExpired, reasonContextEnded}},
		"time over with an error status":     {situation{event: eventContextEnded, repeatable: true, attemptLimit: 3, attempts: 2, inProgress: 1, hasAnswer: true, mayHaveRun: true, contextEnded: true}, decision{stepAnswer, "", reasonContextEnded}},
	} {
		if got := test.given.next(); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}

func TestDecisionsAboutAStream(t *testing.T) {
	for name, test := range map[string]struct {
		given streamSituation
		want  decision
	}{
		"a broken one goes on":                  {streamSituation{event: eventAttemptFailed, resumable: true, attemptLimit: 3, failedAttempts: 1, tried: 1}, decision{stepSend, "", reasonRetry}},
		"beyond the limit once it has events":   {streamSituation{event: eventAttemptFailed, resumable: true, attemptLimit: 3, failedAttempts: 3, tried: 3, begun: true, hasEvents: true}, decision{stepSend, "", reasonRetry}},
		"not before":                            {streamSituation{event: eventAttemptFailed, resumable: true, attemptLimit: 3, failedAttempts: 3, tried: 3}, decision{stepLose, "", reasonAttempts}},
		"not for ever":                          {streamSituation{event: eventAttemptFailed, resumable: true, attemptLimit: 9, failedAttempts: maxStreamRetries, tried: 1, begun: true, hasEvents: true}, decision{stepBreakOff, "", reasonAttempts}},
		"not if it must run once":               {streamSituation{event: eventAttemptFailed, attemptLimit: 3, failedAttempts: 1, tried: 1}, decision{stepLose, "", reasonNotRepeated}},
		"not if the caller has a part":          {streamSituation{event: eventAttemptFailed, attemptLimit: 3, failedAttempts: 1, tried: 1, begun: true}, decision{stepBreakOff, "", reasonNotRepeated}},
		"a promise allows another attempt":      {streamSituation{event: eventAttemptFailed, attemptLimit: 3, refusals: 1, tried: 1, notRun: true}, decision{stepSend, "", reasonRetry}},
		"up to the refusal limit":               {streamSituation{event: eventAttemptFailed, attemptLimit: 3, refusals: maxRefusals, tried: 1, notRun: true}, decision{stepRefuse, ReasonAllFull, reasonRefusals}},
		"a quarantine ends it":                  {streamSituation{event: eventAttemptFailed, resumable: true, attemptLimit: 3, tried: 1, notRun: true, quarantined: true}, decision{stepRefuse, ReasonAllFull, reasonQuarantined}},
		"time over after an attempt":            {streamSituation{event: eventAttemptFailed, resumable: true, attemptLimit: 3, failedAttempts: 1, tried: 1, contextEnded: true}, decision{stepExpire, "", reasonContextEnded}},
		"time over, not run":                    {streamSituation{event: eventAttemptFailed, resumable: true, attemptLimit: 3, refusals: 1, tried: 1, notRun: true, contextEnded: true}, decision{stepRefuse, ReasonAllFull, reasonContextEnded}},
		"none at the first pick":                {streamSituation{event: eventNoReplica, resumable: true, attemptLimit: 3}, decision{stepRefuse, ReasonNoReplica, reasonNoneEligible}},
		"all tried":                             {streamSituation{event: eventNoReplica, attemptLimit: 3, refusals: 2, tried: 2}, decision{stepWaitForRoom, "", reasonAllTried}},
		"all tried, often":                      {streamSituation{event: eventNoReplica, resumable: true, attemptLimit: 3, refusals: 4, failedAttempts: 2, tried: 2, begun: true}, decision{stepBreakOff, "", reasonNoneEligible}},
		"none after a wait":                     {streamSituation{event: eventNoReplica, attemptLimit: 3, refusals: 2}, decision{stepRefuse, ReasonAllFull, reasonNoneEligible}},
		"none after a wait, may have run":       {streamSituation{event: eventNoReplica, resumable: true, attemptLimit: 3, failedAttempts: 1}, decision{stepLose, "", reasonNoneEligible}},
		"time over during a wait, may have run": {streamSituation{event: eventNoReplica, resumable: true, attemptLimit: 3, failedAttempts: 1, contextEnded: true}, decision{stepExpire, "", reasonNoneEligible}},
	} {
		if got := test.given.next(); got != test.want {
			t.Errorf("%s: %+v, want %+v", name, got, test.want)
		}
	}
}
