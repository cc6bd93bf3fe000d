package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// maxHold is the longest time for which a poll is held, whatever it requests.
	maxHold = 5 * time.Second
	// readAfterPoll is how long a node keeps reading the store after it was last polled as a
	// reader.
	readAfterPoll = 10 * time.Second
	// maxRelayedAge is the greatest cache age at which a relaying node reports its caches
	// as current. It covers two levels of polls held to the end, and late replies.
	maxRelayedAge = 900 * time.Millisecond
)

// HandlePoll returns the reply to a follower's poll. It returns when there are changes,
// when this node reports unsure or leaving, or when the requested hold has passed. A polled
// node reads the store, unless it is polled as a relay, that is, a node that follows another.
func (s *Source) HandlePoll(ctx context.Context, poll *wire.WatchPoll) *wire.WatchNews {
	s.metrics.answered.Inc()
	if poll.Direct && !s.reading.isActive() && !s.probe.succeeds(ctx) {
		// The store is available to neither node, so this one could not help the other.
		return &wire.WatchNews{Standing: uint8(wire.ReaderUnsure)}
	}
	if !poll.Relay {
		s.reading.require(readAfterPoll)
	}
	hold := time.NewTimer(min(maxHold, time.Duration(poll.WaitMs)*time.Millisecond))
	defer hold.Stop()
	for {
		changed := s.changed.next()
		reply := s.buildReply(poll)
		if endsHold(reply) {
			return reply
		}
		select {
		case <-ctx.Done():
			return reply
		case <-hold.C:
			return s.buildReply(poll)
		case <-changed:
		}
	}
}

// endsHold reports whether a reply is sent before the hold ends.
func endsHold(reply *wire.WatchNews) bool {
	switch wire.ReaderState(reply.Standing) {
	case wire.ReaderLeaving, wire.ReaderUnsure:
		return true
	case wire.ReaderCurrent:
		return len(reply.Kinds) > 0
	}
	return false
}

// buildReply returns the reply to a poll from the current state.
func (s *Source) buildReply(poll *wire.WatchPoll) *wire.WatchNews {
	status := s.readerStatus(poll.Direct)
	if poll.Relay && status.state != wire.ReaderLeaving && !s.reading.isActive() {
		status = s.relayStatus()
	}
	return &wire.WatchNews{
		Standing: uint8(status.state),
		Through:  status.through,
		AgeMs:    uint32(status.age.Milliseconds()),
		Kinds:    s.updatesFor(poll),
	}
}

// cacheStatus is what a node reports about its caches.
type cacheStatus struct {
	state wire.ReaderState
	// through is the address of the node to which the store is available, if it is another
	// one.
	through string
	// age is how long ago the caches were last known to be current.
	age time.Duration
}

// relayStatus returns the status of a node that follows another one.
func (s *Source) relayStatus() cacheStatus {
	age := s.CacheAge()
	switch {
	case !s.listed():
		return cacheStatus{state: wire.ReaderStarting}
	case age > maxRelayedAge:
		return cacheStatus{state: wire.ReaderUnsure}
	}
	return cacheStatus{state: wire.ReaderCurrent, through: s.accessPeer.last(), age: age}
}

// readerStatus returns the status of a node that reads the store. A reader that follows a
// helper also reports current and names the helper, except in reply to a direct poll:
// otherwise two nodes without store access could regard each other as current.
func (s *Source) readerStatus(direct bool) cacheStatus {
	helper, helped := s.accessPeer.helper()
	switch {
	case s.leaving.Load():
		return cacheStatus{state: wire.ReaderLeaving}
	case helped && !direct:
		return cacheStatus{state: wire.ReaderCurrent, through: helper}
	case s.health.isUnavailable():
		return cacheStatus{state: wire.ReaderUnsure}
	case s.isCurrent():
		return cacheStatus{state: wire.ReaderCurrent}
	}
	return cacheStatus{state: wire.ReaderStarting}
}

// updatesFor returns an update for each kind of which the sender of a poll lacks changes.
func (s *Source) updatesFor(poll *wire.WatchPoll) []wire.KindNews {
	var updates []wire.KindNews
	for _, held := range poll.Kinds {
		for _, cache := range s.caches {
			if cache.kind != held.Kind {
				continue
			}
			if update, found := cache.UpdateSince(held.Revision, poll.Compressed); found {
				updates = append(updates, encodeUpdate(held.Kind, update))
			}
		}
	}
	return updates
}

func encodeUpdate(kind string, update Update) wire.KindNews {
	return wire.KindNews{
		Kind:        kind,
		Revision:    update.Revision,
		Whole:       update.Snapshot,
		AfterOutage: update.AfterOutage,
		Changes:     objectwire.EncodeChanges(update.Changes),
		Compressed:  update.Compressed,
	}
}
