package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pathtally/pathtally/internal/wire"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testFingerprint returns a distinct fingerprint for each number.
func testFingerprint(number int) Fingerprint {
	return Fingerprint{byte(number), byte(number >> 8), byte(number >> 16)}
}

// Guards against counting a crash twice when reports are duplicated or reordered.
func TestCrashTrackerDeduplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewCrashTracker(crashesToQuarantine)
		distinct := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			replica := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "replica"))
			incarnation := rapid.IntRange(0, 2).Draw(t, "incarnation")
			// Nodes may observe the same crash up to 900 ms apart.
			delayMs := rapid.IntRange(0, 900).Draw(t, "delayMs")
			at := testStart.Add(time.Duration(incarnation)*2*minCrashInterval + time.Duration(delayMs)*time.Millisecond)
			distinct[fmt.Sprint(replica, ".", incarnation)] = true
			got := tracker.Add(testFingerprint(1), replica, at, testStart.Add(time.Minute))
			if want := min(len(distinct), crashesToQuarantine); got != want {
				t.Fatalf("counted %d crashes, want %d", got, want)
			}
		}
	})
}

func TestCrashTrackerExpiry(t *testing.T) {
	tracker := NewCrashTracker(crashesToQuarantine)
	tracker.Add(testFingerprint(1), "one", testStart, testStart)
	tracker.Add(testFingerprint(1), "two", testStart, testStart)
	later := testStart.Add(suspectLifetime + time.Second)
	if count := tracker.Add(testFingerprint(1), "three", later, later); count != 1 {
		t.Errorf("counted %d crashes after the others expired, want 1", count)
	}
}

func TestCrashTrackerLimit(t *testing.T) {
	tracker := NewCrashTracker(crashesToQuarantine)
	for number := range maxSuspects + 100 {
		at := testStart.Add(time.Duration(number) * time.Millisecond)
		tracker.Add(testFingerprint(number), "one", at, at)
	}
	if tracker.Len() != maxSuspects {
		t.Errorf("%d suspects, want %d", tracker.Len(), maxSuspects)
	}
	if len(tracker.Crashes(testFingerprint(0))) != 0 || len(tracker.Crashes(testFingerprint(maxSuspects+99))) != 1 {
		t.Error("the oldest suspect is kept or the newest is not")
	}
}

// Guards against counting a crash that is reported after, but happened before, a success.
func TestCrashBeforeSuccessIsIgnored(t *testing.T) {
	nodes := startNodes(t, 1)
	service := nodes.nodes["node-0"]
	request := fingerprintOf(testCall("", "good"))
	service.ReceiveReport(&wire.CrashReport{Fingerprint: request[:], Served: true})
	for attempt := range crashesToQuarantine {
		service.ReceiveReport(&wire.CrashReport{Fingerprint: request[:], Ends: []wire.ReplicaEnd{{Replica: fmt.Sprint(attempt), AgoMs: 1000}}})
	}
	if isQuarantined(service, "good") {
		t.Error("request quarantined for crashes before it succeeded")
	}
	for attempt := range crashesToQuarantine {
		time.Sleep(2 * time.Millisecond)
		service.ReceiveReport(&wire.CrashReport{Fingerprint: request[:], Ends: []wire.ReplicaEnd{{Replica: fmt.Sprint("after-", attempt)}}})
	}
	if !isQuarantined(service, "good") {
		t.Error("request not quarantined for crashes after it succeeded")
	}
}
