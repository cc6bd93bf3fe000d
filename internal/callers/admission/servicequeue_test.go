package admission

import (
	"testing"
	"time"
)

var queueStart = time.Unix(0, 0)

func queueRequest(replicas ...string) *Request {
	return &Request{Priority: 1, Arrived: queueStart, Deadline: queueStart.Add(1500 * time.Millisecond), Objective: replayObjective, Replicas: replicas}
}

func queueAnswer(replica string, took time.Duration) Answer {
	return Answer{Replica: replica, Objective: replayObjective, Took: took, Base: replayWork, InFlight: 1}
}

// Guards against limits without a sign of load: an answer in time, one that is late although it
// took no longer than without load, or a failed connection.
func TestServiceQueueStaysInactive(t *testing.T) {
	queue := NewServiceQueue()
	queue.Answered(queueStart, queueAnswer("a", replayObjective))
	slow := queueAnswer("a", 200*time.Millisecond)
	slow.Base = 180 * time.Millisecond
	queue.Answered(queueStart, slow)
	if queue.Active(queueStart) {
		t.Error("active without a sign of load")
	}
	queue.Failed(queueStart, "a")
	if !queue.Active(queueStart) || queue.Active(queueStart.Add(failureHold)) {
		t.Error("a failed connection must count for failureHold")
	}
}

// Guards against a refusal or a wait while a replica is not limited, and against a wait that
// cannot end in time.
func TestServiceQueueVerdicts(t *testing.T) {
	queue := NewServiceQueue()
	queue.Rejected(queueStart, queueAnswer("a", 0))
	if got := queue.Arrive(queueStart, queueRequest("a", "b"), 0); len(got) != 1 || got[0].Replica != "b" {
		t.Errorf("verdicts %+v, want b, which is not limited", got)
	}
	// A window of 0.15 requests of twice 23 ms allows the next send after 306 ms.
	got := queue.Arrive(queueStart, queueRequest("a"), 0)
	if len(got) != 1 || got[0].Reason != ReasonTooLate || got[0].RetryAfter < 306*time.Millisecond {
		t.Errorf("verdicts %+v, want a refusal with a Retry-After of at least 306 ms", got)
	}
	at := queueStart.Add(250 * time.Millisecond)
	waits := queueRequest("a")
	waits.Arrived = at
	if got := queue.Arrive(at, waits, 0); len(got) != 0 || queue.Waiting() != 1 {
		t.Errorf("verdicts %+v, want none", got)
	}
	got = nil
	for waits := true; waits && len(got) == 0; {
		if at, waits = queue.NextAt(at); waits {
			got = queue.Advance(at, 0)
		}
	}
	if len(got) != 1 || got[0].Replica != "a" || got[0].Waited < 50*time.Millisecond {
		t.Errorf("verdicts %+v, want a after 56 ms", got)
	}
	left := queueRequest("a")
	left.Arrived = queueStart.Add(550 * time.Millisecond)
	queue.Arrive(left.Arrived, left, 0)
	queue.Leave(left)
	if queue.Waiting() != 0 {
		t.Error("a request that left still waits")
	}
}

// Guards against refused callers that are told to return together, before they can be served, or
// after the time that they have left.
func TestRetryAfterFollowsDrain(t *testing.T) {
	queue := NewServiceQueue()
	queue.Rejected(queueStart, queueAnswer("a", 0))
	last := time.Duration(0)
	for number := range 20 {
		patient := queueRequest("a")
		patient.Deadline = queueStart.Add(time.Minute)
		got := queue.Arrive(queueStart, patient, 0.5)
		if len(got) != 1 || got[0].RetryAfter < last+300*time.Millisecond {
			t.Fatalf("caller %d: verdicts %+v, the one before it returns after %v", number, got, last)
		}
		last = got[0].RetryAfter
	}
	early, late := queue.Arrive(queueStart, queueRequest("a"), 0), queue.Arrive(queueStart, queueRequest("a"), 0.99)
	if early[0].RetryAfter > 500*time.Millisecond || early[0].RetryAfter-late[0].RetryAfter < 100*time.Millisecond {
		t.Errorf("callers at the bound return after %v and %v, want them spread", early[0].RetryAfter, late[0].RetryAfter)
	}
}

// Guards against trust in a report that is better than the measured time, and against a report
// of a long queue that is ignored.
func TestReportedLoadOnlyLowersLimits(t *testing.T) {
	measured := queueAnswer("a", 40*time.Millisecond)
	idle, full := measured, measured
	idle.Load = ReplicaLoad{Running: 0, Slots: replaySlots, Slowdown: 1}
	full.Load = ReplicaLoad{Running: replaySlots, Waiting: replayQueue, Slots: replaySlots, Slowdown: 2}
	if idle.expectedDelay() != measured.Took || full.expectedDelay() < 5*replayWork {
		t.Errorf("expected %v with an idle report and %v with a full one", idle.expectedDelay(), full.expectedDelay())
	}
}
