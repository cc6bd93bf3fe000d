package watchcache

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// newsBound is after how long without word from a current reader this node
	// reads the store itself, where it may. A second reader is tried within it.
	newsBound = 1200 * time.Millisecond
	// unsurePause is the time between polls of a reader that is not sure, and
	// unsureBound how many such answers in a row have a node that the store
	// answers read itself. One is not enough: at the end of an outage the store
	// may answer this node a little before the reader has noticed.
	unsurePause = 300 * time.Millisecond
	unsureBound = 2
	// startPatience is for how long a node that has no copies yet follows one that has
	// begun to list: what it would list itself is the same.
	startPatience = 5 * time.Second
	// lastResort is after how long without word a node of a large area reads the store
	// although others should: by then those have failed it. Platforms of that size give
	// four seconds for word that a replica leaves.
	lastResort = 3 * time.Second
	// lastResortPause is the time between its questions to the store while that does
	// not answer.
	lastResortPause = 2 * time.Second
)

// staysWith decides by a poll's outcome whether a node is followed on.
func (s *Source) staysWith(ctx context.Context, place position, outcome string) bool {
	s.hurried = outcome == outcomeSilent
	switch outcome {
	case outcomeCurrent:
		s.doubts, s.doubtSince = 0, time.Time{}
		return true
	case outcomeLeaving:
		s.passOver(place.parent.Name, leavingTime)
		return false
	case outcomeSilent:
		s.leaveSilent(place)
		return false
	case outcomeStarting, outcomeUnlisted:
		if s.bearsStart(outcome) {
			return true
		}
	case outcomeUnsure:
		if place.relayed {
			return s.bearsRelay(ctx, place)
		}
		if s.bearsDoubt(ctx) {
			objectstore.Sleep(ctx, unsurePause)
			return true
		}
		s.passOver(place.parent.Name, unsureTime)
		if s.narrow(unsureTime) && time.Since(s.doubtSince) < newsBound {
			return false
		}
	}
	s.passOver(place.parent.Name, unsureTime)
	s.readWhereAllowed(place)
	return false
}

// leaveSilent turns from a node that does not answer.
func (s *Source) leaveSilent(place position) {
	s.noteUnsure()
	if s.passOverSilent(place.parent.Name) {
		s.narrow(silentTime)
	}
	if s.Age() > newsBound {
		// A further silent reader would make it too late.
		s.readWhereAllowed(place)
	}
}

// bearsStart tells whether a reader that has begun to list is followed on.
func (s *Source) bearsStart(outcome string) bool {
	if outcome == outcomeStarting && !s.listed() {
		return s.Age() < startPatience
	}
	// One taken up because another was unsure has had its time.
	return s.Age() < newsBound && s.doubtSince.IsZero()
}

// bearsRelay tells whether a node that follows another one itself, and has no word of
// late, is followed on. Its own parent is replaced by those that follow it directly, so
// that this node only has to wait; but the node may be the one that is cut off, so that
// another is tried once in a while.
func (s *Source) bearsRelay(ctx context.Context, place position) bool {
	s.noteUnsure()
	if !objectstore.Sleep(ctx, unsurePause) || s.Age() < newsBound {
		return true
	}
	if s.Age() > lastResort && s.isAnswered(ctx) {
		s.readDirectly()
		return false
	}
	if time.Since(s.relayLeftAt) < unsureTime {
		return true
	}
	s.relayLeftAt = time.Now()
	s.passOver(place.parent.Name, unsureTime)
	return false
}

// isAnswered asks the store whether it answers this node, seldom.
func (s *Source) isAnswered(ctx context.Context) bool {
	if time.Since(s.askedAt) < lastResortPause {
		return false
	}
	s.askedAt = time.Now()
	return answers(ctx, s.config.Store, s.config.ProbeKind, s.config.ProbeName)
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

// readWhereAllowed has this node read the store itself for some seconds if its position
// lets it, or if it has been without word for too long. In a large area the next in rank
// is followed instead, which begins to read when it is polled.
func (s *Source) readWhereAllowed(place position) {
	inTime := place.inTree && s.Age() <= newsBound
	if (place.mayRead && !inTime) || s.Age() > lastResort {
		s.readDirectly()
	}
}

// readDirectly has this node read the store itself for some seconds.
func (s *Source) readDirectly() { s.readAtLeast(directTime + rand.N(directSpread)) }
