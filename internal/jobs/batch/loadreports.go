package batch

import "time"

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

// UsualIntervals returns the known usual time between events of a run by replica.
func (s *Service) UsualIntervals() map[string]time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replicas.UsualIntervals(time.Now())
}
