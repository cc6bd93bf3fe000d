package batch

import (
	"maps"
	"time"
)

// endedMemory is for how long the results of an ended job are kept in memory;
// after that the store answers for it.
const endedMemory = 90 * time.Second

// evict forgets jobs that ended long ago.
func (s *Service) evict() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, held := range s.jobs {
		if held.endKept && time.Since(held.endedAt) > endedMemory {
			held.cancelAppends()
			delete(s.jobs, id)
		}
	}
	for id, standing := range s.known {
		// A node that no owner tells of a job knows it from a question, and asks again.
		untold := !s.config.Table.AnnouncesToAll() && s.cachedRank(id, standing) >= locators
		if (standing.ended || untold) && time.Since(standing.heard) > endedMemory {
			delete(s.known, id)
		}
	}
	s.ends.evict()
	s.evictReplicas()
	s.lengths.Evict(time.Now())
	s.demand.Evict(time.Now())
}

// evictReplicas forgets replicas that are gone and nodes that are silent. The
// mutex must be held.
func (s *Service) evictReplicas() {
	listed := s.config.Directory.View().Replicas
	maps.DeleteFunc(s.replicas, func(id string, state *replicaState) bool { return listed[id] == nil && state.running == 0 })
	maps.DeleteFunc(s.uses, func(_ string, uses nodeUses) bool { return time.Since(uses.at) > usesAge })
}
