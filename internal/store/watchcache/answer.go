package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

// longestHold bounds for how long a poll is held.
const longestHold = 5 * time.Second

// relayBound is how old the word of a reader may be that a node hands on as current: a
// poll that was held to its end and an answer that came late, on two levels.
const relayBound = 900 * time.Millisecond

// Answer answers a follower's poll. It waits until there is news, but not
// beyond the time that the poll names. A node that is polled reads the store, unless its
// follower takes it for one that follows another.
func (s *Source) Answer(ctx context.Context, poll *wire.WatchPoll) *wire.WatchNews {
	s.metrics.answered.Inc()
	if poll.Direct && !s.reads() && !answers(ctx, s.config.Store, s.config.ProbeKind, s.config.ProbeName) {
		// The store is away for both: reading it would help nobody.
		return &wire.WatchNews{Standing: uint8(wire.StandingUnsure)}
	}
	if !poll.Relay {
		s.readAtLeast(polledTime)
	}
	limit := time.NewTimer(min(longestHold, time.Duration(poll.WaitMs)*time.Millisecond))
	defer limit.Stop()
	for {
		changed := s.changes()
		news := s.newsNow(poll)
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
			return s.newsNow(poll)
		case <-changed:
		}
	}
}

// newsNow is the answer to a poll at this moment.
func (s *Source) newsNow(poll *wire.WatchPoll) *wire.WatchNews {
	standing, through := s.standing(poll.Direct)
	age := time.Duration(0)
	if poll.Relay && standing != wire.StandingLeaving && !s.reads() {
		standing, through, age = s.relayedStanding()
	}
	return &wire.WatchNews{Standing: uint8(standing), Through: through, AgeMs: uint32(age.Milliseconds()), Kinds: s.newsFor(poll)}
}

// relayedStanding is what a node that follows another one says of its copies.
func (s *Source) relayedStanding() (standing wire.Standing, through string, age time.Duration) {
	age = s.Age()
	switch {
	case !s.listed():
		return wire.StandingStarting, "", 0
	case age > relayBound:
		return wire.StandingUnsure, "", 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return wire.StandingCurrent, s.peer.Address, age
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
			if news, found := cache.Since(has.Revision, poll.Compressed); found {
				collected = append(collected, wire.KindNews{
					Kind: has.Kind, Revision: news.At, Whole: news.Whole, AfterOutage: news.AfterOutage, Changes: objectwire.EncodeChanges(news.Changes),
					Compressed: news.Compressed,
				})
			}
		}
	}
	return collected
}
