package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/ownership"
)

// endedJobRetention is how long the results of an ended job stay in memory; after that the
// store answers for it.
const endedJobRetention = 90 * time.Second

// evict forgets jobs that ended long ago.
func (s *Service) evict() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, held := range s.jobs {
		if held.endStored && time.Since(held.endedAt) > endedJobRetention {
			held.cancelAppends()
			delete(s.jobs, id)
		}
	}
	for id, remote := range s.remoteJobs {
		// A node to which no owner announces the job knows it from a question, and asks
		// again.
		untold := !s.config.Table.AnnouncesToAll() && s.cachedRank(id, remote) >= ownership.Locators
		if (remote.ended || untold) && time.Since(remote.lastHeartbeat) > endedJobRetention {
			delete(s.remoteJobs, id)
		}
	}
	s.ends.Evict(time.Now())
	s.replicas.Evict(s.config.Directory.View().Replicas, time.Now())
	s.lengths.Evict(time.Now())
	s.demand.Evict(time.Now())
}
