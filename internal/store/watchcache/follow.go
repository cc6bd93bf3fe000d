package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// follow polls the parent until a decision or a changed position ends that.
func (s *Source) follow(ctx context.Context, position treePosition) {
	parent := position.parent.Name
	s.config.Logger.Info("following the store through a reader", "reader", parent, "relayed", position.relayed)
	s.polls.unsureReplies = 0
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.reading.followUntil(cancel)
	target := pollTarget{node: position.parent, relayed: position.relayed}
	for s.position() == position {
		timing := timingOf(timingInput{
			inTree:     position.inTree,
			listed:     s.listed(),
			lastSilent: s.polls.lastSilent,
			suspect:    s.polls.isSuspect(),
		})
		result := s.poll(ctx, target, timing)
		if ctx.Err() != nil {
			return
		}
		s.metrics.polls.WithLabelValues(string(result.outcome)).Inc()
		if pause := pauseAfter(result, position.inTree); pause > 0 {
			objectstore.Sleep(ctx, pause)
		}
		decided := decideAfterPoll(s.observe(ctx, position, result.outcome))
		s.carryOut(ctx, parent, decided)
		if !decided.follow {
			s.config.Logger.Info("stopped following reader", "reader", parent, "outcome", string(result.outcome), "newsAgeMs", s.CacheAge().Milliseconds())
			s.config.Logger.V(1).Info("why the reader is not followed", "reader", parent, "reason", string(decided.reason))
			return
		}
	}
}

// observe records the outcome of a poll and returns the input of the decision after it. It
// probes the store if the decision depends on whether the store is available to this node.
func (s *Source) observe(ctx context.Context, position treePosition, outcome pollOutcome) pollObservation {
	s.polls.lastSilent = outcome == outcomeSilent
	observed := pollObservation{outcome: outcome, position: position, listed: s.listed()}
	switch {
	case outcome == outcomeCurrent:
		s.polls.clearSuspect()
	case outcome == outcomeSilent:
		s.health.recordSuspect()
		observed.silentBefore = s.exclusions.wasSilent(position.parent.Name)
	case outcome == outcomeUnsure && position.relayed:
		s.health.recordSuspect()
		observed.interrupted = !objectstore.Sleep(ctx, unsureRetryInterval)
		observed.storeAnswers = !observed.interrupted && s.probeIfCritical(ctx)
	case outcome == outcomeUnsure:
		s.health.recordSuspect()
		observed.storeAnswers = s.probe.answered(ctx)
		s.polls.recordUnsure(observed.storeAnswers)
		observed.narrowerArea = observed.storeAnswers && s.hasNarrowerArea()
	}
	observed.copyAge = s.CacheAge()
	observed.unsureReplies = s.polls.unsureReplies
	observed.suspect = s.polls.isSuspect()
	observed.suspectFor = time.Since(s.polls.suspectSince)
	observed.sinceRelayLeft = time.Since(s.polls.relayLeftAt)
	return observed
}

// probeIfCritical probes the store if the cache age is critical and the last such probe is
// at least criticalProbeInterval ago. It reports whether the probe succeeded.
func (s *Source) probeIfCritical(ctx context.Context) (answered bool) {
	if s.CacheAge() <= criticalAge || time.Since(s.polls.probedAt) < criticalProbeInterval {
		return false
	}
	s.polls.probedAt = time.Now()
	return s.probe.answered(ctx)
}

// carryOut applies a decision: first the exclusions, then the switch to reading, then the
// pause.
func (s *Source) carryOut(ctx context.Context, parent string, decided decision) {
	switch decided.exclude {
	case excludeSilent:
		s.exclusions.excludeSilent(parent)
	case excludeUnsure:
		s.exclusions.exclude(parent, unsureExclusion)
	case excludeStaleRelay:
		s.polls.relayLeftAt = time.Now()
		s.exclusions.exclude(parent, unsureExclusion)
	case excludeLeaving:
		s.exclusions.exclude(parent, leavingExclusion)
	}
	if decided.leaveAreaFor > 0 {
		s.leaveArea(decided.leaveAreaFor)
	}
	if decided.readStore {
		s.readDirectly()
	}
	if decided.pause > 0 {
		objectstore.Sleep(ctx, decided.pause)
	}
}
