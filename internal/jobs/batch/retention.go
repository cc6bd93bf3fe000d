package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/ownership"
)

// endedJobRetention is how long the results of an ended job stay in memory. After that,
// reads are served from the store.
const endedJobRetention = 90 * time.Second

// evict removes jobs that ended long ago and other outdated state.
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
		// A node that gets no announcements about the job knows it only from having
		// asked, and can ask again.
		unannounced := !s.config.PeerTable.AnnouncesToAll() && s.cachedRank(id, remote) >= ownership.Locators
		if (remote.ended || unannounced) && time.Since(remote.lastHeartbeat) > endedJobRetention {
			delete(s.remoteJobs, id)
		}
	}
	s.ends.Evict(time.Now())
	s.replicas.Evict(s.config.Directory.View().Replicas, time.Now())
	s.lengths.Evict(time.Now())
	s.demand.Evict(time.Now())
	s.trainers.Evict(time.Now())
	s.openJobs.Evict(time.Now())
}
