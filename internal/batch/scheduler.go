package batch

import (
	"context"
	"slices"
	"time"
)

const (
	// lookPeriod is the time between looks at runs that may have stalled.
	lookPeriod = 100 * time.Millisecond
	// startPatience is how long a run may take to its first event, and
	// eventPatience how long between events.
	startPatience = 900 * time.Millisecond
	eventPatience = 500 * time.Millisecond
	// loadPatience is added while the replica changes weights.
	loadPatience = 2500 * time.Millisecond
	// idleLook is the time between looks while nothing is to be done.
	idleLook = 2 * time.Second
)

// schedule starts items at replicas until the context ends.
func (s *Service) schedule(ctx context.Context) {
	timer := time.NewTimer(idleLook)
	defer timer.Stop()
	for {
		changed := s.config.Directory.Changed()
		busy := s.assign()
		wait := idleLook
		if busy {
			wait = lookPeriod
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-changed:
		case <-timer.C:
			s.inspect()
		}
	}
}

// assign starts all items that have a place, and tells whether there is work.
func (s *Service) assign() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.queue) == 0 {
		return len(s.attempts) > 0
	}
	placement := s.newPlacement()
	full := map[*job]bool{}
	s.queue = slices.DeleteFunc(s.queue, func(waiting *item) bool {
		if waiting.done || waiting.job.ended || waiting.job.displaced {
			return true
		}
		if full[waiting.job] || time.Now().Before(waiting.notBefore) {
			return false
		}
		if s.expire(waiting) {
			return true
		}
		chosen := placement.pick(waiting)
		if chosen == nil {
			full[waiting.job] = true
			return false
		}
		chosen.load++
		s.launch(waiting, chosen.endpoint)
		return true
	})
	return len(s.queue) > 0 || len(s.attempts) > 0
}

// expire gives an item up once that is allowed. The mutex must be held.
func (s *Service) expire(waiting *item) bool {
	if waiting.job.givenUpAt.IsZero() || time.Now().Before(waiting.job.givenUpAt) {
		return false
	}
	s.config.Logger.Info("item given up", "request", waiting.ID, "job", waiting.job.id, "reason", "its time has run out", "breaks", waiting.breaks)
	s.finish(waiting, Result{ID: waiting.ID, State: Abandoned})
	return true
}

// inspect cuts runs that have stalled and moves runs away from slow replicas.
func (s *Service) inspect() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.attempts) == 0 {
		return
	}
	placement := s.newPlacement()
	for running := range s.attempts {
		state := s.replica(running.endpoint.Name)
		patience := startPatience
		if running.events.Load() > 0 {
			patience = eventPatience
		}
		if state.loading(running.item.job.submission.Model) {
			patience += loadPatience
		}
		switch {
		case placement.view.Replicas[running.endpoint.Name] == nil && !s.leavingReplicaMayFinish(running):
			running.cut(ErrMoved)
		case running.idle() > patience:
			state.blockedUntil = time.Now().Add(stallBlock)
			running.cut(ErrStalled)
		}
	}
	s.moveToFaster(placement)
}

// leavingReplicaMayFinish tells whether a run at a replica that leaves is left
// there: leaving replicas go on serving for a while.
func (s *Service) leavingReplicaMayFinish(running *attempt) bool {
	return running.idle() < eventPatience
}

// stallBlock is how long a replica gets no items after one stalled there.
const stallBlock = 700 * time.Millisecond
