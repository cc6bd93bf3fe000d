package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// pollWait is for how long a reader holds a poll without news, and
	// pollMargin how much later its answer may come. After both a reader counts
	// as silent; docs/PLATFORM.md ("Who reads the store") bounds by them how old
	// copies may be.
	pollWait   = 400 * time.Millisecond
	pollMargin = 350 * time.Millisecond
	// doubtWait is for how long a reader holds the poll of a node that has just left
	// one that was unsure: a listing of the store takes less, and whoever has none
	// then is likely to be turned away too. A node of a large area that has just left
	// one that was silent polls the next for as long, and waits hurriedMargin for its
	// answer: two that were lost together cost less than newsBound.
	doubtWait     = 150 * time.Millisecond
	hurriedMargin = 200 * time.Millisecond
	// listingMargin is how much later the answer to a first poll may come in a large
	// area: it holds a listing of all replicas, and many nodes that start together
	// share one link.
	listingMargin = 2500 * time.Millisecond
	// relayGather is how long a node of a large area waits after news before it polls
	// again, so that changes close together cost one message on each of its links. On
	// two levels it is a small part of the bounds that changes have to be in force within.
	// Where taking the news took long, as it does while thousands of replicas start, it
	// waits takingPart times as long, longestGather at most, so that a small node has time
	// for its callers.
	relayGather   = 150 * time.Millisecond
	takingPart    = 4
	longestGather = 400 * time.Millisecond
)

// The outcomes of polls, as metrics name them.
const (
	outcomeCurrent  = "current"
	outcomeUnsure   = "unsure"
	outcomeLeaving  = "leaving"
	outcomeSilent   = "silent"
	outcomeStarting = "starting"
	// outcomeUnlisted is that of a reader that does not know all kinds.
	outcomeUnlisted = "unlisted"
)

// follow polls a node for as long as it is the one to follow.
func (s *Source) follow(ctx context.Context, place position) {
	s.config.Logger.Info("following the store through a reader", "reader", place.parent.Name, "relayed", place.relayed)
	s.doubts = 0
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mutex.Lock()
	s.stopFollowing = cancel
	s.mutex.Unlock()
	for {
		if s.position() != place {
			return
		}
		outcome := s.poll(ctx, pollOf{node: place.parent, relayed: place.relayed, inTree: place.inTree})
		if ctx.Err() != nil {
			return
		}
		s.metrics.polls.WithLabelValues(outcome).Inc()
		if outcome == outcomeCurrent && place.inTree && s.taking > 0 {
			objectstore.Sleep(ctx, min(max(relayGather, takingPart*s.taking), longestGather))
		}
		if !s.staysWith(ctx, place, outcome) {
			s.config.Logger.Info("stopped following reader", "reader", place.parent.Name, "outcome", outcome, "newsAgeMs", s.Age().Milliseconds())
			return
		}
	}
}

// pollOf is a poll of a node that this one follows or is helped by.
type pollOf struct {
	node Node
	// direct asks for a node that the store itself answers.
	direct bool
	// relayed and inTree are those of the position that the node is followed from.
	relayed bool
	inTree  bool
}

// patience is for how long the node is to hold a poll without news, and for how long its
// answer is waited for.
func (s *Source) patience(next pollOf) (wait, limit time.Duration) {
	switch {
	case next.direct:
		return pollWait, pollWait + pollMargin
	case next.inTree && !s.listed():
		return pollWait, pollWait + listingMargin
	case next.inTree && s.hurried:
		return doubtWait, doubtWait + hurriedMargin
	case !s.doubtSince.IsZero():
		return doubtWait, pollWait + pollMargin
	}
	return pollWait, pollWait + pollMargin
}

// poll asks a node once, takes its news and tells how it went.
func (s *Source) poll(ctx context.Context, next pollOf) string {
	wait, limit := s.patience(next)
	poll := &wire.WatchPoll{WaitMs: uint32(wait.Milliseconds()), Direct: next.direct, Relay: next.relayed, Compressed: true}
	for _, cache := range s.caches {
		poll.Kinds = append(poll.Kinds, wire.KindRevision{Kind: cache.kind, Revision: cache.Revision()})
	}
	reply, err := environment.Ask(ctx, s.config.Peers, next.node.Address, poll, limit)
	news, isNews := reply.(*wire.WatchNews)
	if err != nil || !isNews {
		return outcomeSilent
	}
	s.noteHeard(next.node.Name)
	began := time.Now()
	err = s.take(poll, news)
	s.taking = 0
	if len(news.Kinds) > 0 {
		s.taking = max(time.Since(began), 1)
	}
	if err != nil {
		s.config.Logger.Error(err, "news of the store not readable", "reader", next.node.Name)
		return outcomeUnsure
	}
	outcome := outcomeOf(wire.Standing(news.Standing))
	if outcome != outcomeCurrent {
		return outcome
	}
	if !s.listed() {
		// A reader of an earlier version may not know all kinds.
		return outcomeUnlisted
	}
	s.notePeer(next.node, news.Through)
	s.noteNewsOf(time.Duration(news.AgeMs) * time.Millisecond)
	return outcome
}

// listed tells whether every kind has been listed once.
func (s *Source) listed() bool {
	for _, cache := range s.caches {
		if !cache.Listed() {
			return false
		}
	}
	return true
}

func outcomeOf(standing wire.Standing) string {
	switch standing {
	case wire.StandingCurrent:
		return outcomeCurrent
	case wire.StandingLeaving:
		return outcomeLeaving
	case wire.StandingStarting:
		return outcomeStarting
	}
	return outcomeUnsure
}

// take applies the news that a poll brought. Even those of a reader that is
// not sure go forward only.
func (s *Source) take(poll *wire.WatchPoll, news *wire.WatchNews) error {
	for _, kind := range news.Kinds {
		for number, cache := range s.caches {
			if cache.kind != kind.Kind {
				continue
			}
			if err := takeKind(cache, kind, poll.Kinds[number].Revision); err != nil {
				return err
			}
		}
	}
	return nil
}

// takeKind applies the news of one kind since a revision.
func takeKind(cache *Cache, kind wire.KindNews, since uint64) error {
	switch {
	case kind.Compressed != nil && kind.Whole:
		objects, err := objectwire.Decompress(kind.Compressed)
		if err != nil {
			return err
		}
		cache.Replace(objects, kind.Revision, kind.AfterOutage)
	case kind.Compressed != nil:
		changes, err := objectwire.DecompressChanges(kind.Compressed)
		if err != nil {
			return err
		}
		cache.Advance(since, changes, kind.Revision, kind.AfterOutage)
	case kind.Whole:
		cache.Replace(objectwire.DecodeAll(kind.Changes), kind.Revision, kind.AfterOutage)
	default:
		cache.Advance(since, objectwire.DecodeChanges(kind.Changes), kind.Revision, kind.AfterOutage)
	}
	return nil
}
