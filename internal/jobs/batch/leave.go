package batch

import "time"

const (
	// leaveSaving bounds how long the saving of texts and of ends is waited for before
	// jobs are given away, and leaveLook is the time between looks at it.
	leaveSaving = time.Second
	leaveLook   = 10 * time.Millisecond
)

// Leave gives the jobs of this node away: others take them over at once, with
// the texts so far.
func (s *Service) Leave() {
	s.flushTexts()
	for began := time.Now(); s.isSaving() && time.Since(began) < leaveSaving; {
		time.Sleep(leaveLook)
	}
	s.mutex.Lock()
	s.leaving = true
	s.logKept()
	s.mutex.Unlock()
	s.config.Table.Announce(s.concernedByLeave())
}

// concernedByLeave names the nodes that know of open jobs here. Those that would offer
// this node a job learn it from its answer.
func (s *Service) concernedByLeave() []string {
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

// isSaving tells whether a flush of texts has not come to its end, or an end is being
// made lasting.
func (s *Service) isSaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.pursued) > 0 {
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
