package batch

import "time"

const (
	// leaveSaveTimeout bounds the wait for texts and ends to be stored before jobs are
	// given away, and leavePollInterval is the time between checks of it.
	leaveSaveTimeout  = time.Second
	leavePollInterval = 10 * time.Millisecond
)

// Leave gives the jobs of this node away: others take them over at once, with
// the texts so far.
func (s *Service) Leave() {
	s.flushTexts()
	for began := time.Now(); s.isSaving() && time.Since(began) < leaveSaveTimeout; {
		time.Sleep(leavePollInterval)
	}
	s.mutex.Lock()
	s.leaving = true
	s.logJobsWithoutSuccessor()
	s.mutex.Unlock()
	s.config.Table.Announce(s.nodesKnowingOpenJobs())
}

// nodesKnowingOpenJobs names the nodes that know of open jobs here. Those that would offer
// this node a job learn from its answer that it leaves.
func (s *Service) nodesKnowingOpenJobs() []string {
	var open []string
	s.mutex.Lock()
	for id, held := range s.jobs {
		if held.open() {
			open = append(open, id)
		}
	}
	s.mutex.Unlock()
	var concerned []string
	for _, id := range open {
		concerned = append(concerned, s.locatorsOf(id)...)
	}
	return concerned
}

// flushTexts has the texts of running items saved now.
func (s *Service) flushTexts() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, held := range s.jobs {
		held.textsSaved, held.flushSoon = time.Time{}, true
		held.flushLater()
	}
}

// isSaving tells whether texts or ends are on their way into the store.
func (s *Service) isSaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.endsBeingPersisted) > 0 {
		return true
	}
	for _, held := range s.jobs {
		if held.open() && held.textsSaved.IsZero() && len(held.unsavedTexts(false)) > 0 {
			return true
		}
		if held.saving {
			return true
		}
	}
	return false
}
