package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pathtally/pathtally/internal/wire"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// numbered returns a distinct fingerprint for each number.
func numbered(number int) Fingerprint {
	return Fingerprint{byte(number), byte(number >> 8), byte(number >> 16)}
}

// Guards against counting a crash twice when reports are duplicated or reordered.
func TestLedgerCountsEachEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := NewCrashTracker()
		different := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			replica := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "replica"))
			life := rapid.IntRange(0, 2).Draw(t, "life")
			// Nodes may observe the same crash up to 900 ms apart.
			seen := rapid.IntRange(0, 900).Draw(t, "seenMs")
			at := start.Add(time.Duration(life)*2*minEndInterval + time.Duration(seen)*time.Millisecond)
			different[fmt.Sprint(replica, ".", life)] = true
			got := ledger.Add(numbered(1), replica, at, start.Add(time.Minute))
			if want := min(len(different), endsToQuarantine); got != want {
				t.Fatalf("%d ends are counted, want %d", got, want)
			}
		}
	})
}

func TestLedgerForgets(t *testing.T) {
	ledger := NewCrashTracker()
	ledger.Add(numbered(1), "one", start, start)
	ledger.Add(numbered(1), "two", start, start)
	later := start.Add(suspectLifetime + time.Second)
	if known := ledger.Add(numbered(1), "three", later, later); known != 1 {
		t.Errorf("%d ends are counted after those of long ago, want 1", known)
	}
}

func TestLedgerIsBounded(t *testing.T) {
	ledger := NewCrashTracker()
	for number := range maxSuspects + 100 {
		at := start.Add(time.Duration(number) * time.Millisecond)
		ledger.Add(numbered(number), "one", at, at)
	}
	if ledger.Len() != maxSuspects {
		t.Errorf("%d requests are remembered, want %d", ledger.Len(), maxSuspects)
	}
	if len(ledger.Crashes(numbered(0))) != 0 || len(ledger.Crashes(numbered(maxSuspects+99))) != 1 {
		t.Error("the oldest request is kept, or the newest is not")
	}
}

// Guards against counting a crash that is reported after, but happened before, a success.
func TestAnEndFromBeforeAWholeAnswerDoesNotCount(t *testing.T) {
	nodes := startNodes(t, 1)
	service := nodes.nodes["node-0"]
	request := fingerprintOf(testCall("", "good"))
	service.ReceiveReport(&wire.CrashReport{Fingerprint: request[:], Served: true})
	for try := range endsToQuarantine {
		service.ReceiveReport(&wire.CrashReport{Fingerprint: request[:], Ends: []wire.ReplicaEnd{{Replica: fmt.Sprint(try), AgoMs: 1000}}})
	}
	if isHeld(service, "good") {
		t.Error("a request is held for ends from before it was served")
	}
	for try := range endsToQuarantine {
		time.Sleep(2 * time.Millisecond)
		service.ReceiveReport(&wire.CrashReport{Fingerprint: request[:], Ends: []wire.ReplicaEnd{{Replica: fmt.Sprint("after-", try)}}})
	}
	if !isHeld(service, "good") {
		t.Error("a request is not held for ends from after it was served")
	}
}
