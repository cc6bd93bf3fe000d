package batch

// observeTolerance learns from a new job how far behind the newest version its weights
// may be. The mutex must be held.
func (s *Service) observeTolerance(submission *Submission) {
	newest := s.config.Directory.View().NamedVersions[submission.Model]
	s.tolerances.Observe(submission.Model, submission.MinVersion, newest)
}

// Tolerance is by how many versions the weights of a model may be behind the newest, 0
// until a job has shown it.
func (s *Service) Tolerance(model string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tolerances[model]
}
