package batch

import "time"

const (
	// leaveSaveTimeout bounds the wait for texts and ends to be stored before the jobs
	// are handed over, and leavePollInterval is the time between checks.
	leaveSaveTimeout  = time.Second
	leavePollInterval = 10 * time.Millisecond
)

// Leave hands the open jobs of this node over: it saves their texts and announces that
// the node is leaving, so that others take the jobs over without waiting for a timeout.
func (s *Service) Leave() {
	s.flushTexts()
	for began := time.Now(); s.isSaving() && time.Since(began) < leaveSaveTimeout; {
		time.Sleep(leavePollInterval)
	}
	s.mutex.Lock()
	s.leaving = true
	s.logJobsWithoutSuccessor()
	s.mutex.Unlock()
	s.config.PeerTable.Announce(s.locatorsOfOpenJobs())
}

// locatorsOfOpenJobs returns the locators of the open jobs of this node. Nodes that
// would offer this node a job learn that it is leaving from its reply.
func (s *Service) locatorsOfOpenJobs() []string {
	var open []string
	s.mutex.Lock()
	for id, held := range s.jobs {
		if held.open() {
			open = append(open, id)
		}
	}
	s.mutex.Unlock()
	var locators []string
	for _, id := range open {
		locators = append(locators, s.locatorsOf(id)...)
	}
	return locators
}

// flushTexts makes the publishers save the texts of running items now.
func (s *Service) flushTexts() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, held := range s.jobs {
		held.textsSavedAt, held.flushSoon = time.Time{}, true
		held.requestFlush()
	}
}

// isSaving reports whether texts or ends are still to be stored.
func (s *Service) isSaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.endsBeingPersisted) > 0 {
		return true
	}
	for _, held := range s.jobs {
		if held.open() && held.textsSavedAt.IsZero() && len(held.unsavedTexts(false)) > 0 {
			return true
		}
		if held.saving {
			return true
		}
	}
	return false
}
