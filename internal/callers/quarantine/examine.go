package quarantine

import (
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
)

// soonAfterSent is for how long after it was sent the break of a run counts although it
// had made a part of an answer that the next run goes on behind. A request that ends its
// replica does so soon after it begins; one that has run for longer is mostly cut off by
// the end that another has brought about.
const soonAfterSent = time.Second

// ObserveBroken implements dispatch.Guard.
func (s *Service) ObserveBroken(run dispatch.Run) {
	request := fingerprintOf(run.Call)
	s.mutex.Lock()
	s.examined[request]++
	s.mutex.Unlock()
	go func() {
		s.examine(request, run)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.examined[request]--; s.examined[request] == 0 {
			delete(s.examined, request)
		}
		close(s.settled)
		s.settled = make(chan struct{})
	}()
}

// examine finds out whether a replica has ended under a run that broke, and counts that
// against the request.
func (s *Service) examine(request Fingerprint, run dispatch.Run) {
	found := s.ends.look(s.ctx, run.Endpoint)
	s.metrics.broken.WithLabelValues(string(found)).Inc()
	hadProgress := run.Call.Resumable && run.Received && run.Lasted >= soonAfterSent
	counts := found == exchange.Ended && !hadProgress
	known := 0
	if counts {
		now := s.config.Clock()
		known = s.count(request, []end{{replica: run.Endpoint.Name, at: now}}, now)
	}
	s.config.Logger.Info("run broke", "request", run.Call.ID, "fingerprint", request.String(), "replica", run.Endpoint.Name, "replicaIs", found,
		"counts", counts, "ends", known, "tookMs", run.Lasted.Milliseconds(), "received", run.Received)
	switch {
	case known >= endsToQuarantine:
		s.quarantine(request)
	case counts:
		s.report(request, s.keepers(request))
	}
}

// count takes ends of replicas under a request and returns how many are known.
func (s *Service) count(request Fingerprint, ends []end, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := len(s.ledger.Ends(request))
	for _, next := range ends {
		known = s.ledger.Add(request, next.replica, next.at, now)
	}
	s.suspects.Store(int64(s.ledger.Len()))
	return known
}
