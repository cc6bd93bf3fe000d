package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// longestHold bounds for how long a poll is held.
const longestHold = 5 * time.Second

// Answer answers a follower's poll. It waits until there is news, but not
// beyond the time that the poll names. A node that is polled reads the store.
func (s *Source) Answer(ctx context.Context, poll *wire.WatchPoll) *wire.WatchNews {
	s.metrics.answered.Inc()
	s.readAtLeast(polledTime)
	limit := time.NewTimer(min(longestHold, time.Duration(poll.WaitMs)*time.Millisecond))
	defer limit.Stop()
	for {
		changed := s.changes()
		news := &wire.WatchNews{Standing: uint8(s.standing()), Kinds: s.newsFor(poll)}
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

func (s *Source) standing() wire.Standing {
	s.mutex.Lock()
	leaving := s.leaving
	s.mutex.Unlock()
	switch {
	case leaving:
		return wire.StandingLeaving
	case s.health.isTroubled():
		return wire.StandingUnsure
	case s.isCurrent():
		return wire.StandingCurrent
	}
	return wire.StandingStarting
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
					Kind: has.Kind, Revision: news.At, Whole: news.Whole, AfterOutage: news.AfterOutage, Changes: encodeChanges(news.Changes),
				})
			}
		}
	}
	return collected
}

func encodeChanges(changes []objectstore.Change) []wire.ObjectChange {
	encoded := make([]wire.ObjectChange, 0, len(changes))
	for _, change := range changes {
		object := change.Object
		encoded = append(encoded, wire.ObjectChange{
			Name: object.Name, Gone: change.Gone, Deleting: object.Deleting, Revision: object.Revision, Spec: object.Spec, Status: object.Status,
		})
	}
	return encoded
}

func changesOf(encoded []wire.ObjectChange) []objectstore.Change {
	changes := make([]objectstore.Change, 0, len(encoded))
	for _, change := range encoded {
		changes = append(changes, objectstore.Change{Gone: change.Gone, Object: objectstore.Object{
			Name: change.Name, Revision: change.Revision, Deleting: change.Deleting, Spec: change.Spec, Status: change.Status,
		}})
	}
	return changes
}

func objectsOf(changes []objectstore.Change) []objectstore.Object {
	objects := make([]objectstore.Object, 0, len(changes))
	for _, change := range changes {
		objects = append(objects, change.Object)
	}
	return objects
}
