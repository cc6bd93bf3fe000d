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
	late.Took = 2 * replayObjective
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
// takes more than targetDelayFraction of the objective but less than all of it, and of one
// that always reports more load than its answers show.
func TestLimitEndsWithoutLateAnswers(t *testing.T) {
	usual, reported := queueAnswer("a", 60*time.Millisecond), queueAnswer("a", replayWork)
	reported.Load = ReplicaLoad{Running: replaySlots, Waiting: replaySlots, Slots: replaySlots, Slowdown: 3}
	for name, answer := range map[string]Answer{"usual work is longer": usual, "pessimistic report": reported} {
		if sent := sendsAfterLateAnswer(answer); sent < 190 {
			t.Errorf("%s: %d of 200 requests sent", name, sent)
		}
	}
}
