package dutyapi

import (
	"fmt"
	"maps"
	"time"
)

// term is the lease term: how long after its own call a holder must not have been
// followed by another holder when it calls again.
const term = 3 * time.Second

// judge records what is wrong with the fence of a call. The mutex must be held.
func (s *Server) judge(holder string, token uint64) {
	now := time.Now()
	switch {
	case token < s.token:
		s.findings = append(s.findings, fmt.Sprintf("%s sent token %d after %d", holder, token, s.token))
	case token == s.token && holder != s.holder:
		s.findings = append(s.findings, fmt.Sprintf("%s and %s sent token %d", s.holder, holder, token))
	}
	if last, acted := s.acted[holder]; acted && holder != s.holder && now.Sub(last) < term {
		s.findings = append(s.findings, fmt.Sprintf("%s called in turns with %s", holder, s.holder))
	}
	s.token, s.holder, s.acted[holder] = max(s.token, token), holder, now
}

// take keeps a window's first report and compares later ones with it. The mutex must be held.
func (s *Server) take(report Report) {
	earlier, known := s.reports[report.Window]
	if !known {
		s.reports[report.Window] = report
		return
	}
	if !maps.Equal(earlier.Counts, report.Counts) {
		s.findings = append(s.findings, fmt.Sprintf("window %d reported as %v and as %v", report.Window, earlier.Counts, report.Counts))
	}
}
