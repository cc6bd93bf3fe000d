package lease

import (
	"slices"
	"strconv"
	"time"
)

// key identifies a world up to differences that don't matter: absolute times, absolute
// revisions, and ages beyond modelAge.
func (w modelWorld) key() string {
	revisions := []uint64{0, w.revision, w.token}
	for i := range w.nodes {
		node := w.nodes[i]
		revisions = append(revisions, node.state.revision, node.state.token)
		if node.ready {
			revisions = append(revisions, node.replaces)
		}
		if node.applied != nil {
			revisions = append(revisions, node.appliedRevision)
		}
		for _, write := range []*modelWrite{node.inFlight, node.applied, w.lateWrites[i]} {
			if write != nil {
				revisions = append(revisions, write.replaces)
			}
		}
	}
	slices.Sort(revisions)
	revisions = slices.Compact(revisions)
	rank := func(revision uint64) int { return slices.Index(revisions, revision) }
	age := func(tick int) int { return min(modelAge, w.now-tick) }
	instant := func(at time.Time) int {
		if at.IsZero() {
			return modelAge
		}
		return max(-modelAge, min(modelAge, w.now-int(at.Sub(w.timeAt(0))/modelTick)))
	}
	var text []byte
	number := func(values ...int) {
		for _, value := range values {
			text = append(strconv.AppendInt(text, int64(value), 10), ' ')
		}
	}
	flags := func(values ...bool) {
		for _, value := range values {
			text = append(strconv.AppendBool(text, value), ' ')
		}
	}
	write := func(write *modelWrite) {
		if write != nil {
			number(rank(write.replaces), age(write.sent))
			flags(write.release)
		}
		text = append(text, '|')
	}
	number(rank(w.revision), w.holder, w.lastCaller, rank(w.token), age(w.calledAt[0]), age(w.calledAt[1]))
	flags(w.released)
	for i := range w.nodes {
		node := w.nodes[i]
		number(node.clockLag)
		number(rank(node.state.revision), instant(node.state.firstSeen), rank(node.state.token))
		if node.state.token != 0 {
			number(instant(node.state.sendUntil), instant(node.state.tenureStart))
		}
		number(instant(node.state.heldSince))
		if node.ready {
			number(rank(node.replaces))
		}
		if node.applied != nil {
			number(rank(node.appliedRevision))
		}
		flags(node.state.released, node.state.unconfirmed, node.state.stopped, node.ready)
		text = append(text, node.state.holder...)
		write(node.inFlight)
		write(node.applied)
		write(w.lateWrites[i])
	}
	return string(text)
}
