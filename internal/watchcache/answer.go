package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

// longestHold bounds for how long a poll is held.
const longestHold = 5 * time.Second

// Answer answers a follower's poll. It waits until there is news, but not
// beyond the time that the poll names. A node that is polled reads the store.
func (s *Source) Answer(ctx context.Context, poll *wire.WatchPoll) *wire.WatchNews {
	s.metrics.answered.Inc()
	if poll.Direct && !s.reads() && !answers(ctx, s.config.Store, s.config.ProbeKind, s.config.ProbeName) {
		// The store is away for both: reading it would help nobody.
		return &wire.WatchNews{Standing: uint8(wire.StandingUnsure)}
	}
	s.readAtLeast(polledTime)
	limit := time.NewTimer(min(longestHold, time.Duration(poll.WaitMs)*time.Millisecond))
	defer limit.Stop()
	for {
		changed := s.changes()
		standing, through := s.standing(poll.Direct)
		news := &wire.WatchNews{Standing: uint8(standing), Through: through, Kinds: s.newsFor(poll)}
		switch wire.Standing(news.Standing) {
		case wire.StandingLeaving, wire.StandingUnsure:
			return news
		case wire.StandingCurrent:
			if len(news.Kinds) > 0 {
				return news
			}
		}
		select {
		case <-ctx.Done():
			return news
		case <-limit.C:
			return news
		case <-changed:
		}
	}
}

// standing is what this node says of its own view. One that another node helps
// out calls itself current too and names that node, but not to a node that might
// be helped by it in turn.
func (s *Source) standing(direct bool) (standing wire.Standing, through string) {
	s.mutex.Lock()
	leaving := s.leaving
	helped := time.Since(s.helpedAt) < helpedTime
	helper := s.peer.Address
	s.mutex.Unlock()
	switch {
	case leaving:
		return wire.StandingLeaving, ""
	case helped && !direct:
		return wire.StandingCurrent, helper
	case s.health.isTroubled():
		return wire.StandingUnsure, ""
	case s.isCurrent():
		return wire.StandingCurrent, ""
	}
	return wire.StandingStarting, ""
}

// newsFor collects what a poll's sender lacks.
func (s *Source) newsFor(poll *wire.WatchPoll) []wire.KindNews {
	var collected []wire.KindNews
	for _, has := range poll.Kinds {
		for _, cache := range s.caches {
			if cache.kind != has.Kind {
				continue
			}
			if news, found := cache.Since(has.Revision); found {
				collected = append(collected, wire.KindNews{
					Kind: has.Kind, Revision: news.At, Whole: news.Whole, AfterOutage: news.AfterOutage, Changes: objectwire.EncodeChanges(news.Changes),
				})
			}
		}
	}
	return collected
}
