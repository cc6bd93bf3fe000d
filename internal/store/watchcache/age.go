package watchcache

import "time"

// noteNews records that the copies are current.
func (s *Source) noteNews() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.newsAt = s.config.Clock()
}

// noteNewsOf records that the copies were current some time ago, unless that is known of
// a later time.
func (s *Source) noteNewsOf(age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if told := s.config.Clock().Add(-age); told.After(s.newsAt) {
		s.newsAt = told
	}
}

// Age is for how long the copies have not been known to be current.
func (s *Source) Age() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.config.Clock.Since(s.newsAt)
}
