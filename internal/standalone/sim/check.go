package sim

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/stream"
	"github.com/pathtally/pathtally/internal/wire"
)

// Violation is a promise that a history breaks.
type Violation struct {
	Promise string
	Detail  string
}

// Error names the promise and what broke it.
func (v Violation) Error() string { return v.Promise + ": " + v.Detail }

// Names of the promises, one for each point of the brief.
const (
	PromiseVersions   = "every sample names its versions"
	PromiseStaleness  = "no sample older than the bound"
	PromiseOnce       = "every sample reaches its trainer exactly once"
	PromiseAnswer     = "the whole answer to the caller's own request"
	PromiseNotRun     = "refused means not run"
	PromiseAtMostOnce = "an unsafe request runs at most once"
	PromiseLeaving    = "a leaving engine gets no new work"
	PromiseStop       = "a planned stop cuts nothing"
	PromiseConfig     = "configuration never goes back and one writer wins"
	PromiseProgress   = "work goes on once faults are over"
)

// Checker judges a history.
type Checker func(*History) []Violation

// Checkers are those that hold under every fault.
var Checkers = []Checker{CheckVersions, CheckStaleness, CheckOnce, CheckAnswers, CheckNotRun, CheckAtMostOnce, CheckStops, CheckConfig}

// Check runs all checkers.
func Check(history *History) []Violation {
	var found []Violation
	for _, checker := range Checkers {
		found = append(found, checker(history)...)
	}
	return found
}

func violation(promise, format string, values ...any) Violation {
	return Violation{Promise: promise, Detail: fmt.Sprintf(format, values...)}
}

// CheckVersions compares the segments of delivered samples with what engines
// produced for one of the sample's attempts.
func CheckVersions(h *History) []Violation {
	byAttempt := map[string]map[int]VersionRun{}
	for _, id := range sortedKeys(h.tokens) {
		attempt := id[:strings.LastIndexByte(id, '.')]
		if byAttempt[attempt] == nil {
			byAttempt[attempt] = map[int]VersionRun{}
		}
		for _, run := range h.tokens[id] {
			for token := run.First; token < run.First+run.Count; token++ {
				byAttempt[attempt][token] = run
			}
		}
	}
	attempts := sortedKeys(byAttempt)
	var found []Violation
	for _, delivery := range h.deliveries {
		for _, sample := range delivery.Samples {
			prefix := fmt.Sprintf("%s/%d/%d/", sample.Trainer, sample.Step, sample.Slot)
			if !anyAttemptMatches(byAttempt, attempts, prefix, sample.Segments, sample.Tokens) {
				found = append(found, violation(PromiseVersions, "step %d slot %d: segments %v fit no attempt", sample.Step, sample.Slot, sample.Segments))
			}
		}
	}
	return found
}

func anyAttemptMatches(byAttempt map[string]map[int]VersionRun, attempts []string, prefix string, segments []stream.Segment, tokens int) bool {
	from, _ := slices.BinarySearch(attempts, prefix)
	for _, attempt := range attempts[from:] {
		if !strings.HasPrefix(attempt, prefix) {
			return false
		}
		if segmentsMatch(byAttempt[attempt], segments, tokens) {
			return true
		}
	}
	return false
}

func segmentsMatch(produced map[int]VersionRun, segments []stream.Segment, tokens int) bool {
	covered := 0
	for _, segment := range segments {
		for token := segment.First; token < segment.First+segment.Count; token++ {
			run, made := produced[token]
			if token != covered || !made || run.Version != segment.Version {
				return false
			}
			covered++
		}
	}
	return covered == tokens && tokens > 0
}

// CheckStaleness compares delivered samples with the bound in force at the
// node that handed them over.
func CheckStaleness(h *History) []Violation {
	var found []Violation
	for _, delivery := range h.deliveries {
		for _, sample := range delivery.Samples {
			staleness := int64(delivery.Step) - stream.LowestVersion(sample.Segments)
			if staleness > delivery.Bound {
				found = append(found, violation(PromiseStaleness, "step %d slot %d is %d versions old, bound %d", delivery.Step, sample.Slot, staleness, delivery.Bound))
			}
		}
	}
	return found
}

// CheckOnce checks that each step has every slot once, that the same revision
// of a step has the same bytes, and that each step is trained once.
func CheckOnce(h *History) []Violation {
	var found []Violation
	bodies := map[string][]byte{}
	for _, delivery := range h.deliveries {
		seen := map[uint32]bool{}
		for _, sample := range delivery.Samples {
			if seen[sample.Slot] || sample.Step != delivery.Step {
				found = append(found, violation(PromiseOnce, "step %d slot %d is there twice or of step %d", delivery.Step, sample.Slot, sample.Step))
			}
			seen[sample.Slot] = true
		}
		if len(seen) != delivery.Expected {
			found = append(found, violation(PromiseOnce, "step %d has %d samples", delivery.Step, len(seen)))
		}
		key := fmt.Sprintf("%s/%d/%d", delivery.Trainer, delivery.Step, delivery.Manifest.Revision)
		if earlier, stood := bodies[key]; stood && !bytes.Equal(earlier, delivery.Body) {
			found = append(found, violation(PromiseOnce, "step %d revision %d was delivered with other bytes", delivery.Step, delivery.Manifest.Revision))
		}
		bodies[key] = delivery.Body
	}
	for step, count := range h.trainings {
		if count != 1 {
			found = append(found, violation(PromiseOnce, "step %s was trained %d times", step, count))
		}
	}
	return found
}

// CheckAnswers checks that every answer given as done is the whole right text.
func CheckAnswers(h *History) []Violation {
	var found []Violation
	for _, end := range h.requests {
		if end.Answer != nil && end.Answer.Outcome == wire.OutcomeDone && end.Answer.Text != end.Expected {
			found = append(found, violation(PromiseAnswer, "%q got %q, expected %q", end.Asked.Prompt, end.Answer.Text, end.Expected))
		}
	}
	return found
}

// CheckNotRun checks that no engine admitted a request that a node said it did
// not run, and that such an answer says when to come back.
func CheckNotRun(h *History) []Violation {
	admitted := map[string]bool{}
	for _, admission := range h.admissions {
		admitted[admission.ID[:strings.LastIndexByte(admission.ID, '.')]] = true
	}
	var found []Violation
	for _, end := range h.requests {
		if end.Answer == nil || end.Answer.Outcome != wire.OutcomeNotRun {
			continue
		}
		if admitted[end.Answer.RequestID] {
			found = append(found, violation(PromiseNotRun, "%s was said to be not run and ran", end.Answer.RequestID))
		}
		if end.Answer.RetryAfter <= 0 {
			found = append(found, violation(PromiseNotRun, "%s was refused without a time to come back: %v", end.Answer.RequestID, end.Answer.Err))
		}
	}
	return found
}

// CheckAtMostOnce checks that no unsafe request was admitted anew twice.
func CheckAtMostOnce(h *History) []Violation {
	unsafe := map[string]bool{}
	for _, end := range h.requests {
		if end.Asked.Key != "" {
			unsafe[end.Asked.Prompt] = true
		}
	}
	var found []Violation
	for _, prompt := range sortedKeys(unsafe) {
		if h.runs[prompt] > 1 {
			found = append(found, violation(PromiseAtMostOnce, "%q ran %d times", prompt, h.runs[prompt]))
		}
	}
	return found
}

// CheckStops checks that planned stops cut no request.
func CheckStops(h *History) []Violation {
	var found []Violation
	for _, stop := range h.stops {
		if stop.Cut > 0 {
			found = append(found, violation(PromiseStop, "the stop of %s cut %d requests", stop.Node, stop.Cut))
		}
	}
	return found
}

// CheckConfig checks that no life of a node went back, that no ready node
// served a generation older than one that had been in force everywhere, and
// that of rival writers exactly those that were accepted had an effect.
func CheckConfig(h *History) []Violation {
	var found []Violation
	newest := map[string]uint64{}
	for _, apply := range h.applies {
		key := fmt.Sprintf("%s/%d", apply.Node, apply.Life)
		if apply.Generation < newest[key] {
			found = append(found, violation(PromiseConfig, "node %s went back from %d to %d", apply.Node, newest[key], apply.Generation))
		}
		newest[key] = apply.Generation
	}
	for _, write := range h.writes {
		made := h.marks[write.Mark]
		if write.Conflict && (made != 0 || write.Named == 0) {
			found = append(found, violation(PromiseConfig, "%s got a conflict, took effect %d times, named %d changes", write.Mark, made, write.Named))
		}
		if !write.Conflict && made != 1 {
			found = append(found, violation(PromiseConfig, "%s was accepted and took effect %d times", write.Mark, made))
		}
	}
	return append(found, checkServed(h)...)
}

// checkServed replays which generation was in force everywhere when.
func checkServed(h *History) []Violation {
	var found []Violation
	current := map[string]uint64{}
	everywhere := uint64(0)
	next := 0
	for _, serving := range h.servings {
		for next < len(h.applies) && h.applies[next].Order < serving.Order {
			current[h.applies[next].Node] = h.applies[next].Generation
			next++
			everywhere = max(everywhere, leastOf(current, len(h.world.Nodes)))
		}
		if serving.Generation < everywhere {
			found = append(found, violation(PromiseConfig, "node %s served generation %d after %d was in force everywhere", serving.Node, serving.Generation, everywhere))
		}
	}
	return found
}

func leastOf(current map[string]uint64, nodes int) uint64 {
	if len(current) < nodes {
		return 0
	}
	least := ^uint64(0)
	for _, generation := range current {
		least = min(least, generation)
	}
	return least
}

// CheckLeaving checks that nothing was sent to an engine later than the limit
// after the earliest sign that it leaves. It holds where signs can travel.
func CheckLeaving(limit time.Duration) Checker {
	return func(h *History) []Violation {
		var found []Violation
		for _, sign := range h.signs {
			for _, dispatch := range h.dispatches {
				if dispatch.Engine == sign.Engine && dispatch.At > sign.At+limit {
					found = append(found, violation(PromiseLeaving, "%s sent work to %s %s after the sign", dispatch.Node, sign.Engine, dispatch.At-sign.At))
				}
			}
		}
		return found
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
