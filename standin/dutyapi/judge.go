package dutyapi

import (
	"fmt"
	"maps"
	"time"
)

// leaseTerm is the term of the duty lease. If another holder has called since a holder's last
// call, the holder must not call again within this time.
const leaseTerm = 3 * time.Second

// checkFencing records violations by the holder and fencing token of a call. The mutex must be
// held.
func (s *Server) checkFencing(holder string, token uint64) {
	now := time.Now()
	switch {
	case token < s.token:
		s.violations = append(s.violations, fmt.Sprintf("%s sent token %d after token %d", holder, token, s.token))
	case token == s.token && holder != s.holder:
		s.violations = append(s.violations, fmt.Sprintf("%s and %s both sent token %d", s.holder, holder, token))
	}
	if last, called := s.lastCalls[holder]; called && holder != s.holder && now.Sub(last) < leaseTerm {
		s.violations = append(s.violations, fmt.Sprintf("%s and %s called alternately within the lease term", holder, s.holder))
	}
	s.token, s.holder, s.lastCalls[holder] = max(s.token, token), holder, now
}

// addReport stores the first report of a window and compares later ones with it. The mutex
// must be held.
func (s *Server) addReport(report Report) {
	first, known := s.reports[report.Window]
	if !known {
		s.reports[report.Window] = report
		return
	}
	if !maps.Equal(first.Counts, report.Counts) {
		s.violations = append(s.violations, fmt.Sprintf("window %d reported as %v and later as %v", report.Window, first.Counts, report.Counts))
	}
}
