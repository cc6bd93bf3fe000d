package batch

// awayBias puts replicas that do not keep up with a model behind those that do, in
// full loads: they take its items once the others are full. Their weights are soon too
// old for it, and the connections to them of no more use.
const awayBias = 1.0

// SetKeepers takes which replicas keep up with each model.
func (s *Service) SetKeepers(keepers map[string]map[string]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keepers = keepers
}

// away is the bias of a replica for items of a model, 0 where it keeps up with the
// model or nothing is known. The mutex must be held.
func (s *Service) away(replica, model string) float64 {
	if keepers := s.keepers[model]; len(keepers) == 0 || keepers[replica] {
		return 0
	}
	return awayBias
}
