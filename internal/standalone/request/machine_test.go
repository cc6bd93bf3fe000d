package request

import (
	"errors"
	"reflect"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/wire"
)

var errTest = errors.New("none")

func chunk(first int, text string) engine.Chunk {
	return engine.Chunk{First: first, Count: 1, Text: text, Version: 7}
}

func end(tokens int, text string) engine.End {
	return engine.End{Tokens: tokens, Digest: xxhash.Sum64String(text), Reason: "stop"}
}

func broken() *engine.Error { return &engine.Error{Kind: engine.Broken} }

func refused() *engine.Error { return &engine.Error{Kind: engine.Refused} }

func granted() ClaimResult { return ClaimResult{Result: quorum.GrantResult{Granted: true}} }

func alreadyClaimed(outcome uint8, fingerprint uint64, response string) ClaimResult {
	return ClaimResult{Result: quorum.GrantResult{Holder: &wire.ClaimReply{Outcome: outcome, Fingerprint: fingerprint, Answer: []byte(response)}}}
}

// TestMachineOutcomes guards against a wrong outcome and against dispatching a
// request that may have run and must not run twice.
func TestMachineOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		unsafe     bool
		events     []Event
		dispatches int
		outcome    uint8
		text       string
	}{
		{"complete response", false, []Event{chunk(0, "a"), chunk(1, "b"), end(2, "ab")}, 1, wire.OutcomeDone, "ab"},
		{"three refusals are not run", false, []Event{refused(), refused(), refused()}, 3, wire.OutcomeNotRun, ""},
		{"broken may have run", false, []Event{broken(), refused(), refused()}, 3, wire.OutcomeUnknown, ""},
		{"resumed after a break", false, []Event{chunk(0, "a"), broken(), chunk(1, "b"), end(2, "ab")}, 2, wire.OutcomeDone, "ab"},
		{"move is not a retry", true, []Event{granted(), chunk(0, "a"), engine.Moved{KVHandle: "h"}, chunk(1, "b"), end(2, "ab")}, 2, wire.OutcomeDone, "ab"},
		{"unsafe is not sent again after a break", true, []Event{granted(), broken()}, 1, wire.OutcomeUnknown, ""},
		{"unsafe is sent again after a refusal", true, []Event{granted(), refused(), chunk(0, "a"), end(1, "a")}, 2, wire.OutcomeDone, "a"},
		{"unsafe without a majority is not run", true, []Event{ClaimResult{Err: errTest}}, 0, wire.OutcomeNotRun, ""},
		{"repeat of a pending request is unknown", true, []Event{alreadyClaimed(wire.OutcomePending, 0, "")}, 0, wire.OutcomeUnknown, ""},
		{"repeat of a done request is done", true, []Event{alreadyClaimed(wire.OutcomeDone, 0, "stored")}, 0, wire.OutcomeDone, ""},
		{"key with another body is not run", true, []Event{alreadyClaimed(wire.OutcomeDone, 9, "stored")}, 0, wire.OutcomeNotRun, ""},
		{"gap in the chunks", false, []Event{chunk(1, "b")}, 1, wire.OutcomeUnknown, ""},
		{"end with another count", false, []Event{chunk(0, "a"), end(2, "a")}, 1, wire.OutcomeUnknown, "a"},
		{"end with another digest", false, []Event{chunk(0, "a"), end(1, "b")}, 1, wire.OutcomeUnknown, "a"},
		{"chunk without a version", false, []Event{engine.Chunk{Count: 1, Text: "a"}}, 1, wire.OutcomeUnknown, ""},
		{"deadline during a dispatch", false, []Event{DeadlinePassed{}}, 1, wire.OutcomeUnknown, ""},
		{"no engine", false, []Event{NoEngine{Err: errTest}}, 1, wire.OutcomeNotRun, ""},
		{"no engine after a break", false, []Event{broken(), NoEngine{Err: errTest}}, 2, wire.OutcomeUnknown, ""},
		{"caller gone", false, []Event{chunk(0, "a"), CallerGone{}}, 1, wire.OutcomeUnknown, "a"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			machine := New(Config{Unsafe: test.unsafe, Request: engine.Request{ID: "r"}})
			dispatches := 0
			var finish *Finish
			for _, event := range append([]Event{Begin{}}, test.events...) {
				switch action := machine.Handle(event).(type) {
				case Dispatch:
					dispatches++
				case Finish:
					finish = &action
				}
			}
			if finish == nil || finish.Result.Outcome != test.outcome || finish.Result.Text != test.text || dispatches != test.dispatches {
				t.Fatalf("unexpected end: %d dispatches, finish %+v", dispatches, finish)
			}
			if late := machine.Handle(chunk(0, "z")); !reflect.DeepEqual(late, Wait{}) {
				t.Errorf("event after the end: got action %+v, want Wait", late)
			}
		})
	}
}

func TestRetryResumesReceivedText(t *testing.T) {
	machine := New(Config{Request: engine.Request{ID: "r"}})
	machine.Handle(Begin{})
	machine.Handle(chunk(0, "a"))
	next, resumed := machine.Handle(broken()).(Dispatch)
	if !resumed || next.Request.Resume != "a" || next.Request.ResumeTokens != 1 || !next.Retry || next.Request.ID != "r.2" {
		t.Errorf("unexpected second dispatch: %+v", next)
	}
}
