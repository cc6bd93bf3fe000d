package batch

import "time"

// Waiting returns the number of items that wait for a replica, by model: those in this
// node's queue, and those that the current heartbeats of other nodes announce.
func (s *Service) Waiting() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := map[string]int{}
	for _, waiting := range s.scheduler.queue {
		counts[waiting.job.submission.Model]++
	}
	s.peerReports.AddWaiting(counts, time.Now())
	return counts
}

// UsualIntervals returns the known usual time between events of a run by replica.
func (s *Service) UsualIntervals() map[string]time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for replica, load := range s.replicas.Loads(now) {
		if load == 0 {
			continue
		}
		if interval := s.replicas.Interval(replica, s.replicas.GetOrCreate(replica)); interval > 0 {
			s.peerReports.ObserveRecent(replica, interval, now)
		}
	}
	return s.peerReports.UsualIntervals(now)
}
