package batch

// observeTolerance learns from a new job how far its weights may be behind the newest
// version. The mutex must be held.
func (s *Service) observeTolerance(submission *Submission) {
	newest := s.config.Directory.View().NamedVersions[submission.Model]
	s.tolerances.Observe(submission.Model, submission.MinVersion, newest)
}

// VersionTolerance returns by how many versions the weights of a model may be behind the
// newest one, 0 if no job has shown it yet.
func (s *Service) VersionTolerance(model string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tolerances[model]
}
