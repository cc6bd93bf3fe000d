package batch

import (
	"time"
)

const (
	// longWait is how long an item waits before its job is reported. Most items run within a
	// second, and the trainer waits for the last one.
	longWait = 3 * time.Second
	// longWaitLogInterval is the shortest time between two reports of one job.
	longWaitLogInterval = 3 * time.Second
)

// waitReason is why a queued item does not run.
type waitReason string

const (
	waitNew          waitReason = "not tried yet"
	waitNoReplica    waitReason = "no eligible replica"
	waitNoSlot       waitReason = "no free slot"
	waitSlotLeft     waitReason = "slot left to another job"
	waitCrashes      waitReason = "replicas crashed"
	waitWithheld     waitReason = "not sent to the replica"
	waitRefused      waitReason = "refused by the replica"
	waitFailed       waitReason = "failed at the replica"
	waitBroken       waitReason = "run broken"
	waitInterrupted  waitReason = "run interrupted"
	waitWrongWeights waitReason = "replica has old weights"
)

// waitReasons are all reasons, for the metric.
var waitReasons = []waitReason{
	waitNew, waitNoReplica, waitNoSlot, waitSlotLeft, waitCrashes, waitWithheld, waitRefused, waitFailed, waitBroken,
	waitInterrupted, waitWrongWeights,
}

// longWaits summarizes the items of a job that have waited for at least longWait.
type longWaits struct {
	// reasons counts the items by why they wait.
	reasons map[waitReason]int
	// longest is the item that waits longest, for waited.
	longest *item
	waited  time.Duration
}

// countWaits returns the number of queued items by why they wait, and the long waits by job.
func countWaits(queue []*item, now time.Time) (map[waitReason]int, map[*job]*longWaits) {
	counts, long := map[waitReason]int{}, map[*job]*longWaits{}
	for _, waiting := range queue {
		counts[waiting.waitReason]++
		waited := now.Sub(waiting.waitingSince)
		if waited < longWait {
			continue
		}
		summary := long[waiting.job]
		if summary == nil {
			summary = &longWaits{reasons: map[waitReason]int{}}
			long[waiting.job] = summary
		}
		summary.reasons[waiting.waitReason]++
		if waited > summary.waited {
			summary.longest, summary.waited = waiting, waited
		}
	}
	return counts, long
}

// reportWaits updates the metric of waiting items and logs the jobs with long waits.
func (s *scheduler) reportWaits(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts, long := countWaits(s.queue, now)
	for _, reason := range waitReasons {
		s.metrics.waiting.WithLabelValues(string(reason)).Set(float64(counts[reason]))
	}
	for job, summary := range long {
		if now.Sub(job.longWaitLoggedAt) < longWaitLogInterval {
			continue
		}
		job.longWaitLoggedAt = now
		s.config.Logger.Info("items wait for a replica", "job", job.id, "reasons", summary.reasons, "longestMs", summary.waited.Milliseconds(),
			"request", summary.longest.ID, "runs", summary.longest.runs, "breaks", summary.longest.brokenRuns)
	}
}

// waitReasonFor returns why no replica was picked for an item.
func (p *pool) waitReasonFor(unplaced *item) waitReason {
	if len(p.replicasFor(unplaced)) == 0 {
		return waitNoReplica
	}
	return waitNoSlot
}
