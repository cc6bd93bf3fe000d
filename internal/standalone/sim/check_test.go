package sim

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/rollout"
	"github.com/pathtally/pathtally/internal/standalone/stream"
	"github.com/pathtally/pathtally/internal/wire"
)

// goodSample and goodHistory are a history that keeps every promise; each case
// below breaks one of them.
func goodSample(slot uint32) rollout.Sample {
	return rollout.Sample{Trainer: trainerName, Step: 3, Slot: slot, Tokens: 4, Segments: []stream.Segment{{First: 0, Count: 4, Version: 3}}}
}

func goodHistory() *History {
	h := newHistory(&World{Nodes: make([]*Node, 1)})
	delivery := Delivery{Step: 3, Expected: stepPrompts * stepSamples, Bound: 1, Body: []byte("step"), Manifest: rollout.Manifest{Step: 3}}
	for slot := range uint32(stepPrompts * stepSamples) {
		sample := goodSample(slot)
		delivery.Samples = append(delivery.Samples, sample)
		id := "trainer/3/" + string(rune('0'+slot%10)) + "/1.1.1"
		if slot >= 10 {
			id = "trainer/3/1" + string(rune('0'+slot-10)) + "/1.1.1"
		}
		h.tokens[id] = []VersionRun{{ID: id, First: 0, Count: 4, Version: 3}}
	}
	h.deliveries = []Delivery{delivery}
	h.trainings["trainer/3"] = 1
	h.requests = []RequestEnd{
		{Asked: CallerRequest{Prompt: "a", Key: "k"}, Answer: &CallerAnswer{RequestID: "n-1", Outcome: wire.OutcomeDone, Text: "x"}, Expected: "x"},
		{Asked: CallerRequest{Prompt: "b"}, Answer: &CallerAnswer{RequestID: "n-2", Outcome: wire.OutcomeNotRun, RetryAfter: time.Second}},
	}
	h.runs["a"] = 1
	h.admissions = []Admission{{Engine: "e", ID: "n-1.1", Prompt: "a", Anew: true}}
	h.stops = []Stopped{{Node: "n"}}
	h.marks["m"] = 1
	h.writes = []Write{{Mark: "m", Generation: 2}, {Mark: "lost", Conflict: true, Named: 1}}
	h.applies = []Applied{{Node: "n", Life: 1, Generation: 1, Order: 0}, {Node: "n", Life: 1, Generation: 2, Order: 1}}
	h.servings = []Applied{{Node: "n", Generation: 2, Order: 2}}
	h.signs = []Sign{{Engine: "e", At: time.Second}}
	h.dispatches = []Dispatched{{Engine: "e", At: 2 * time.Second}}
	return h
}

func TestCheckersFindWhatIsBroken(t *testing.T) {
	leaving := CheckLeaving(leavingLimit)
	for _, checker := range append([]Checker{leaving}, Checkers...) {
		if found := checker(goodHistory()); len(found) > 0 {
			t.Fatalf("the good history is judged bad: %v", found)
		}
	}
	cases := []struct {
		name    string
		checker Checker
		spoil   func(h *History)
	}{
		{"version that no engine produced", CheckVersions, func(h *History) { h.deliveries[0].Samples[0].Segments[0].Version = 2 }},
		{"token without version", CheckVersions, func(h *History) { h.deliveries[0].Samples[0].Segments[0].Count = 3 }},
		{"sample too old", CheckStaleness, func(h *History) { h.deliveries[0].Samples[0].Segments[0].Version = 1 }},
		{"sample twice", CheckOnce, func(h *History) { h.deliveries[0].Samples[1].Slot = 0 }},
		{"sample missing", CheckOnce, func(h *History) { h.deliveries[0].Samples = h.deliveries[0].Samples[1:] }},
		{"other bytes", CheckOnce, func(h *History) {
			again := h.deliveries[0]
			again.Body = []byte("other")
			h.deliveries = append(h.deliveries, again)
		}},
		{"step trained twice", CheckOnce, func(h *History) { h.trainings["trainer/3"] = 2 }},
		{"answer cut short", CheckAnswers, func(h *History) { h.requests[0].Answer.Text = "" }},
		{"not run but ran", CheckNotRun, func(h *History) { h.admissions = append(h.admissions, Admission{ID: "n-2.1"}) }},
		{"refusal without a time", CheckNotRun, func(h *History) { h.requests[1].Answer.RetryAfter = 0 }},
		{"unsafe run twice", CheckAtMostOnce, func(h *History) { h.runs["a"] = 2 }},
		{"stop that cuts", CheckStops, func(h *History) { h.stops[0].Cut = 1 }},
		{"node went back", CheckConfig, func(h *History) { h.applies[1].Generation = 0 }},
		{"served an old one", CheckConfig, func(h *History) { h.servings[0].Generation = 1 }},
		{"accepted without effect", CheckConfig, func(h *History) { h.marks["m"] = 0 }},
		{"conflict with effect", CheckConfig, func(h *History) { h.marks["lost"] = 1 }},
		{"conflict that names nothing", CheckConfig, func(h *History) { h.writes[1].Named = 0 }},
		{"work after the sign", leaving, func(h *History) { h.dispatches[0].At = 5 * time.Second }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			history := goodHistory()
			test.spoil(history)
			if len(test.checker(history)) == 0 {
				t.Error("the checker found nothing")
			}
		})
	}
}
