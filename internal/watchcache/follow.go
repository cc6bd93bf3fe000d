package watchcache

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/objectstore"
	"github.com/pathtally/pathtally/internal/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// pollWait is for how long a reader holds a poll without news, and
	// pollMargin how much later its answer may come. After both a reader counts
	// as silent; docs/PLATFORM.md ("Who reads the store") bounds by them how old
	// copies may be.
	pollWait   = 400 * time.Millisecond
	pollMargin = 350 * time.Millisecond
	// newsBound is after how long without word from a current reader this node
	// reads the store itself. A second reader is tried within it.
	newsBound = 1200 * time.Millisecond
	// unsurePause is the time between polls of a reader that is not sure, and
	// unsureBound how many such answers in a row have a node that the store
	// answers read itself. One is not enough: at the end of an outage the store
	// may answer this node a little before the reader has noticed.
	unsurePause = 300 * time.Millisecond
	unsureBound = 2
	// doubtWait is for how long a reader holds the poll of a node that has just left
	// one that was unsure: a listing of the store takes less, and whoever has none
	// then is likely to be turned away too.
	doubtWait = 150 * time.Millisecond
)

// The outcomes of polls, as metrics name them.
const (
	outcomeCurrent  = "current"
	outcomeUnsure   = "unsure"
	outcomeLeaving  = "leaving"
	outcomeSilent   = "silent"
	outcomeStarting = "starting"
)

// follow polls a reader for as long as it is the one to follow.
func (s *Source) follow(ctx context.Context, reader Node) {
	s.config.Logger.Info("following the store through a reader", "reader", reader.Name)
	s.doubts = 0
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mutex.Lock()
	s.stopFollowing = cancel
	s.mutex.Unlock()
	for {
		if next, found := s.reader(); !found || next != reader {
			return
		}
		outcome := s.poll(ctx, reader, false)
		if ctx.Err() != nil {
			return
		}
		s.metrics.polls.WithLabelValues(outcome).Inc()
		if !s.staysWith(ctx, reader, outcome) {
			s.config.Logger.Info("stopped following reader", "reader", reader.Name, "outcome", outcome, "newsAgeMs", s.Age().Milliseconds())
			return
		}
	}
}

// staysWith decides by a poll's outcome whether the reader is followed on.
func (s *Source) staysWith(ctx context.Context, reader Node, outcome string) bool {
	switch outcome {
	case outcomeCurrent:
		s.doubts, s.doubtSince = 0, time.Time{}
		s.noteNews()
		return true
	case outcomeLeaving:
		s.passOver(reader.Name, leavingTime)
		return false
	case outcomeSilent:
		s.leaveSilent(reader)
		return false
	case outcomeStarting:
		// One taken up because another was unsure has had its time.
		if s.Age() < newsBound && s.doubtSince.IsZero() {
			return true
		}
	case outcomeUnsure:
		if s.bearsDoubt(ctx) {
			objectstore.Sleep(ctx, unsurePause)
			return true
		}
		s.passOver(reader.Name, unsureTime)
		if s.narrow(unsureTime) && time.Since(s.doubtSince) < newsBound {
			return false
		}
	}
	s.passOver(reader.Name, unsureTime)
	s.readDirectly()
	return false
}

// leaveSilent turns from a reader that does not answer.
func (s *Source) leaveSilent(reader Node) {
	s.noteUnsure()
	if s.passOverSilent(reader.Name) {
		s.narrow(silentTime)
	}
	if s.Age() > newsBound {
		// A further silent reader would make it too late.
		s.readDirectly()
	}
}

// bearsDoubt counts an answer of a reader that is not sure, and tells whether it
// is followed on all the same.
func (s *Source) bearsDoubt(ctx context.Context) bool {
	s.noteUnsure()
	if !answers(ctx, s.config.Store, s.config.ProbeKind, s.config.ProbeName) {
		// The store is away from here too: whoever is followed knows no less
		// than this node could.
		s.doubts, s.doubtSince = 0, time.Time{}
		return true
	}
	if s.doubtSince.IsZero() {
		s.doubtSince = time.Now()
	}
	s.doubts++
	return s.doubts < unsureBound
}

// readDirectly has this node read the store itself for some seconds.
func (s *Source) readDirectly() { s.readAtLeast(directTime + rand.N(directSpread)) }

// poll asks a reader once, takes its news and tells how it went.
func (s *Source) poll(ctx context.Context, reader Node, direct bool) string {
	wait := pollWait
	if !direct && !s.doubtSince.IsZero() {
		wait = doubtWait
	}
	poll := &wire.WatchPoll{WaitMs: uint32(wait.Milliseconds()), Direct: direct}
	for _, cache := range s.caches {
		poll.Kinds = append(poll.Kinds, wire.KindRevision{Kind: cache.kind, Revision: cache.Revision()})
	}
	reply, err := environment.Ask(ctx, s.config.Peers, reader.Address, poll, pollWait+pollMargin)
	news, isNews := reply.(*wire.WatchNews)
	if err != nil || !isNews {
		return outcomeSilent
	}
	s.noteHeard(reader.Name)
	s.take(poll, news)
	outcome := outcomeOf(wire.Standing(news.Standing))
	if outcome == outcomeCurrent && !s.listed() {
		// A reader of an earlier version may not know all kinds.
		return outcomeStarting
	}
	if outcome == outcomeCurrent {
		s.notePeer(reader, news.Through)
	}
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
func (s *Source) take(poll *wire.WatchPoll, news *wire.WatchNews) {
	for _, kind := range news.Kinds {
		for number, cache := range s.caches {
			if cache.kind != kind.Kind {
				continue
			}
			if kind.Whole {
				cache.Replace(objectwire.DecodeAll(kind.Changes), kind.Revision, kind.AfterOutage)
			} else {
				cache.Advance(poll.Kinds[number].Revision, objectwire.DecodeChanges(kind.Changes), kind.Revision, kind.AfterOutage)
			}
		}
	}
}
