package timeline

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

// line returns a log line with its time in front.
func line(at float64, message, fields string) string {
	return fmt.Sprintf("%9.4f edge-1 {\"time\":\"2026-01-05T22:12:00Z\",\"level\":\"INFO\",\"msg\":%q,%s}\n", at, message, fields)
}

// stepLog returns the log of one step with two groups, of which one is desired: g1 is
// complete after 1.1 s, g2 after 3.2 s.
func stepLog() string {
	finished := func(at float64, item, group string, events, took, reward int) string {
		return line(at, messageFinished, fmt.Sprintf(
			`"request":%q,"job":"job","group":%q,"replica":"r1","events":%d,"fromEvent":0,"firstMs":50,"tookMs":%d,"rewardMs":%d`, item, group, events, took, reward))
	}
	return line(10, messageStarted, `"request":"job","step":3,"model":"m","minVersion":2,"items":3,"desired":1`) +
		finished(10.6, "a", "g1", 11, 550, 50) +
		finished(11.1, "b", "g1", 21, 1050, 50) +
		line(11.2, messageListed, `"request":"job","results":2`) +
		line(11.5, messageRunEnded, `"request":"c","job":"job","group":"g2","replica":"r2","events":10,"fromEvent":0,"firstMs":50,"tookMs":1000,"error":"run was moved: faster replica"`) +
		line(13.2, messageFinished, `"request":"c","job":"job","group":"g2","replica":"r1","events":30,"fromEvent":10,"firstMs":50,"tookMs":1500,"rewardMs":100`) +
		line(13.3, messageListed, `"request":"job","results":1`) +
		line(13.5, messageLate, `"request":"job","reason":"a run stalled"`) +
		line(13.5, messageEnded, `"request":"job"`) +
		line(14, messageNamed, `"model":"m","version":5`) +
		line(15, messageLoaded, `"model":"m","version":5,"tookMs":900`) +
		line(16, messageLoaded, `"model":"m","version":5,"tookMs":900`) + "not a log line\n"
}

func near(got, want float64) bool { return math.Abs(got-want) < 1e-6 }

func TestReadStep(t *testing.T) {
	read, err := Read(strings.NewReader(stepLog()))
	if err != nil || len(read.Steps) != 1 {
		t.Fatalf("read %d steps, error %v, want one step", len(read.Steps), err)
	}
	step := read.Steps[0]
	if step.Number != 3 || step.Model != "m" || step.Items != 3 || step.Moves != 1 || step.RunAgain != 1 || step.Takeovers != 0 || step.Late != "a run stalled" {
		t.Errorf("step %+v", step)
	}
	for _, test := range []struct {
		name string
		got  float64
		want float64
	}{
		{"accepted", step.Accepted, 10}, {"first run", step.FirstRun, 0}, {"first event", step.FirstEvent, 0.05},
		{"half listed", step.Listed50, 1.2}, {"all listed", step.Listed100, 3.3}, {"desired whole", step.DesiredWhole, 1.1},
		{"ended", step.Ended, 3.5}, {"named", step.VersionNamed, 4}, {"first loaded", step.FirstLoaded, 5}, {"all loaded", step.AllLoaded, 6},
		{"fastest pace", read.FastestPace, 0.05}, {"bound", step.Bound, 21 * 0.05}, {"ratio", step.Ratio(), 3.5 / (21 * 0.05)},
	} {
		if !near(test.got, test.want) {
			t.Errorf("%s: %.4f, want %.4f", test.name, test.got, test.want)
		}
	}
}

func TestReadStraggler(t *testing.T) {
	read, err := Read(strings.NewReader(stepLog()))
	if err != nil {
		t.Fatal(err)
	}
	last := read.Steps[0].Last
	if last == nil || last.Item != "c" || last.Events != 40 {
		t.Fatalf("straggler %+v, want item c with 40 events", last)
	}
	total := 0.0
	parts := map[Cause]float64{}
	for _, part := range last.Parts {
		parts[part.Cause] = part.Seconds
		total += part.Seconds
	}
	for cause, want := range map[Cause]float64{CauseWaiting: 0.5, CauseLength: 2, CauseSlowReplica: 0.5, CauseMoves: 0.1, CauseReward: 0.1, CauseListing: 0.3} {
		if !near(parts[cause], want) {
			t.Errorf("%s: %.4f, want %.4f", cause, parts[cause], want)
		}
	}
	if !near(total, 3.5) {
		t.Errorf("the parts add up to %.4f s, want 3.5", total)
	}
	if last.Cause != CauseLength {
		t.Errorf("cause %s, want length", last.Cause)
	}
}

func TestLargestCause(t *testing.T) {
	for _, test := range []struct {
		parts []Part
		want  Cause
	}{
		{[]Part{{CauseLength, 5}, {CauseWaiting, 2}, {CauseSlowReplica, 1}}, CauseLength},
		{[]Part{{CauseLength, 5}, {CauseWaiting, 2}, {CauseSlowReplica, 4}}, CauseSlowReplica},
		{[]Part{{CauseLength, 1}, {CauseTakeover, 4}}, CauseTakeover},
		{nil, CauseLength},
	} {
		if got := largestCause(test.parts); got != test.want {
			t.Errorf("%v: %s, want %s", test.parts, got, test.want)
		}
	}
}

func TestBoundIncludesInheritedGroups(t *testing.T) {
	step := &Step{Desired: 1, finished: []record{
		{Group: "short", Events: 10, at: 1}, {Group: "inherited", Events: 100, at: 2},
	}}
	if got := step.bound(0.1, map[string]bool{}); !near(got, 1) {
		t.Errorf("bound %.2f without inherited groups, want 1", got)
	}
	if got := step.bound(0.1, map[string]bool{"inherited": true}); !near(got, 10) {
		t.Errorf("bound %.2f with an inherited group, want 10", got)
	}
}

func TestReadLogWithoutSteps(t *testing.T) {
	if _, err := Read(strings.NewReader("no log\n{\"msg\":\"node started\"}\n")); !errors.Is(err, ErrNoSteps) {
		t.Errorf("error %v, want ErrNoSteps", err)
	}
}
