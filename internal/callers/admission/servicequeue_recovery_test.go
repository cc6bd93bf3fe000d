package admission

import (
	"testing"
	"time"
)

// sendsAfterLateAnswer returns the sends to a replica in the last 10 s of a minute in which one node
// sends up to 20 requests a second and the replica answers each in the given way. The first answer
// is late.
func sendsAfterLateAnswer(answer Answer) int {
	queue := NewServiceQueue()
	now := queueStart
	late := answer
	late.Took = 3 * replayObjective
	queue.Answered(now, late)
	sent := 0
	for range 1200 {
		now = now.Add(50 * time.Millisecond)
		request := queueRequest(answer.Replica)
		request.Arrived, request.Deadline = now, now.Add(time.Second)
		active := queue.Active(now)
		if active {
			verdicts := queue.Arrive(now, request, 0)
			queue.Leave(request)
			if len(verdicts) != 1 || verdicts[0].Replica == "" {
				continue
			}
		}
		queue.Answered(now, answer)
		if now.Sub(queueStart) > 50*time.Second {
			sent++
		}
	}
	return sent
}

// Guards against a limit that stays for good after one late answer: of a replica whose usual work
// takes more than targetDelayFraction of the objective but less than all of it, of one that
// always reports more load than its answers show, and of one whose every answer is late without
// load, while its time without load is unknown or was shorter once.
func TestLimitEndsWithoutLoad(t *testing.T) {
	usual, reported := queueAnswer("a", 60*time.Millisecond), queueAnswer("a", replayWork)
	reported.Load = ReplicaLoad{Running: replaySlots, Waiting: replaySlots, Slots: replaySlots, Slowdown: 3}
	unknown, faster := queueAnswer("a", 2*replayObjective), queueAnswer("a", 2*replayObjective)
	unknown.Base = 0
	for name, answer := range map[string]Answer{"usual work is longer": usual, "pessimistic report": reported, "late, time without load unknown": unknown, "late, once faster": faster} {
		if sent := sendsAfterLateAnswer(answer); sent < 190 {
			t.Errorf("%s: %d of 200 requests sent", name, sent)
		}
	}
}

// Guards against a slow replica that is no longer limited when it is overloaded: after a rejection,
// and after an answer that takes much longer than its usual ones.
func TestSlowReplicaIsLimitedByLoad(t *testing.T) {
	slow := queueAnswer("a", 2*replayObjective)
	for name, overload := range map[string]func(*ServiceQueue, time.Time){
		"rejection":     func(queue *ServiceQueue, now time.Time) { queue.Rejected(now, slow) },
		"longer answer": func(queue *ServiceQueue, now time.Time) { queue.Answered(now, queueAnswer("a", 4*replayObjective)) },
	} {
		queue := NewServiceQueue()
		queue.slow["a"] = slowReplica{base: slow.Took, until: queueStart.Add(slowLifetime)}
		queue.Answered(queueStart, slow)
		if queue.Active(queueStart) {
			t.Fatal("active after a usual answer")
		}
		if overload(queue, queueStart); !queue.Active(queueStart) {
			t.Errorf("%s: not limited", name)
		}
	}
}

// Guards against counts of tenants that stay after their last request was sent after a long wait,
// and against a credit that is lost with a request that was not sent.
func TestNothingStaysOfRequestsThatWaitedOrLeft(t *testing.T) {
	queue := NewServiceQueue()
	rejected := queueAnswer("a", 0)
	rejected.Objective = time.Minute
	queue.Rejected(queueStart, rejected)
	request := queueRequest("a")
	request.Tenant, request.Objective, request.Deadline = "tenant", time.Minute, queueStart.Add(time.Minute)
	if got := queue.Arrive(queueStart, request, 0); len(got) != 0 {
		t.Fatalf("verdicts %+v, want a wait", got)
	}
	at := queueStart.Add(20 * time.Second)
	queue.shares.decay(at)
	got := queue.Advance(at, 0)
	if len(got) != 1 || got[0].Replica != "a" || len(queue.shares.sent) != 0 {
		t.Errorf("verdicts %+v, want a; sends by tenant: %v", got, queue.shares.sent)
	}
	queue.Rejected(at, rejected)
	credit := queue.limits["a"].credit
	queue.limits["a"].take()
	queue.Unsent(got[0])
	if queue.limits["a"].credit != credit {
		t.Errorf("credit %v, want %v", queue.limits["a"].credit, credit)
	}
}
