package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// follow polls the parent until a decision or a changed position ends that.
func (s *Source) follow(ctx context.Context, position treePosition) {
	parent := position.parent.Name
	s.config.Logger.Info("following a reader", "reader", parent, "relayed", position.relayed)
	s.pollHistory.unsureReplies = 0
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.reading.setStopFollowing(cancel)
	target := pollTarget{node: position.parent, relayed: position.relayed}
	for s.position() == position {
		timing := timingOf(timingInput{
			inTree:     position.inTree,
			listed:     s.listed(),
			lastSilent: s.pollHistory.lastSilent,
			suspect:    s.pollHistory.isSuspect(),
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
		s.applyDecision(ctx, parent, decided)
		if !decided.follow {
			s.config.Logger.Info("stopped following a reader", "reader", parent, "outcome", string(result.outcome), "newsAgeMs", s.CacheAge().Milliseconds())
			s.config.Logger.V(1).Info("reason to stop following a reader", "reader", parent, "reason", string(decided.reason))
			return
		}
	}
}

// observe records the outcome of a poll and returns the input of the decision after it. It
// probes the store if the decision depends on whether the store is available to this node.
func (s *Source) observe(ctx context.Context, position treePosition, outcome pollOutcome) pollObservation {
	s.pollHistory.lastSilent = outcome == outcomeSilent
	observed := pollObservation{outcome: outcome, position: position, listed: s.listed()}
	switch {
	case outcome == outcomeCurrent:
		s.pollHistory.clearSuspect()
	case outcome == outcomeSilent:
		s.health.recordSuspect()
		observed.silentBefore = s.exclusions.wasSilent(position.parent.Name)
	case outcome == outcomeUnsure && position.relayed:
		s.health.recordSuspect()
		observed.interrupted = !objectstore.Sleep(ctx, unsureRetryInterval)
		observed.storeAvailable = !observed.interrupted && s.probeIfCritical(ctx)
	case outcome == outcomeUnsure:
		s.health.recordSuspect()
		observed.storeAvailable = s.probe.succeeds(ctx)
		s.pollHistory.recordUnsure(observed.storeAvailable)
		observed.narrowerArea = observed.storeAvailable && s.hasNarrowerArea()
	}
	observed.cacheAge = s.CacheAge()
	observed.unsureReplies = s.pollHistory.unsureReplies
	observed.suspect = s.pollHistory.isSuspect()
	observed.suspectFor = time.Since(s.pollHistory.suspectSince)
	observed.sinceRelayLeft = time.Since(s.pollHistory.relayLeftAt)
	return observed
}

// probeIfCritical probes the store if the cache age is critical and the last such probe is
// at least criticalProbeInterval ago. It reports whether the probe succeeded.
func (s *Source) probeIfCritical(ctx context.Context) (succeeded bool) {
	if s.CacheAge() <= criticalAge || time.Since(s.pollHistory.probedAt) < criticalProbeInterval {
		return false
	}
	s.pollHistory.probedAt = time.Now()
	return s.probe.succeeds(ctx)
}

// applyDecision applies a decision: first the exclusions, then the switch to reading, then
// the pause.
func (s *Source) applyDecision(ctx context.Context, parent string, decided decision) {
	switch decided.exclude {
	case excludeSilent:
		s.exclusions.excludeSilent(parent)
	case excludeUnsure:
		s.exclusions.exclude(parent, unsureExclusion)
	case excludeStaleRelay:
		s.pollHistory.relayLeftAt = time.Now()
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
