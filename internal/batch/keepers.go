package batch

// SetKeepers takes which replicas keep up with each model.
func (s *Service) SetKeepers(keepers map[string]map[string]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keepers = keepers
}
