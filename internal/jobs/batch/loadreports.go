package batch

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/statistics"
)

// Waiting returns the number of items that wait for a replica, by model: those in this
// node's queue, and those that the current heartbeats of other nodes announce.
func (s *Service) Waiting() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := s.openJobs.Waiting(time.Now())
	for _, waiting := range s.scheduler.queue {
		counts[waiting.job.submission.Model]++
	}
	return counts
}

// UsualIntervals returns the known usual time between events of a run by replica, or none if no
// open job depends on the speed of replicas, so that the homes of weights do not depend on it
// either.
func (s *Service) UsualIntervals() map[string]time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if !s.hasCriticalJob(now) {
		return nil
	}
	return s.replicas.UsualIntervals(now)
}

// hasCriticalJob reports whether an open job of this node or, by their heartbeats, of another one
// depends on the speed of replicas. The mutex must be held.
func (s *Service) hasCriticalJob(now time.Time) bool {
	paces := s.replicas.Paces()
	for _, held := range s.jobs {
		if held.open() && s.scheduler.isCritical(held, paces) {
			return true
		}
	}
	return slices.ContainsFunc(s.openJobs.Current(now), func(other statistics.OpenJob) bool { return other.Critical })
}
