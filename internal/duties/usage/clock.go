package usage

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxSlewOffset is the maximum offset of the wall clock that is corrected by slewing.
	// Larger offsets are treated as steps. slewStep is the maximum correction per
	// comparison.
	maxSlewOffset = 100 * time.Millisecond
	slewStep      = 5 * time.Millisecond
	// lastingStepAge is the time after which a step of the wall clock is adopted as a
	// correction. Erroneous steps are assumed to be reverted sooner.
	lastingStepAge = time.Minute
	// maxPeerOffset is the median offset from the peers above which their estimate
	// replaces this node's, and minPeers the minimum number of peers for that.
	maxPeerOffset = 250 * time.Millisecond
	minPeers      = 3
	// peerOffsetAge is the time after which a peer's offset is dropped.
	peerOffsetAge = 30 * time.Second
)

// Clock estimates the true time. It starts with the wall clock's time and advances with the
// monotonic clock, so that steps of the wall clock do not affect it. Steps are logged, and
// adopted only if they last or if most peers agree. It is safe for concurrent use.
type Clock struct {
	logger klog.Logger

	mutex sync.Mutex
	// start is a reading of the monotonic clock, and unix the estimated time at it since
	// the Unix epoch.
	start time.Time
	unix  time.Duration
	// stepSince is the time when the current step of the wall clock was detected, zero if
	// there is none.
	stepSince time.Time
	peers     map[string]peerOffset
}

// peerOffset is the offset of a peer's estimate from this node's, positive if it is ahead.
type peerOffset struct {
	offset time.Duration
	at     time.Time
}

// NewClock returns a Clock that starts with the current time of the wall clock.
func NewClock(logger klog.Logger) *Clock { return newClockAt(time.Now(), time.Now(), logger) }

// newClockAt returns a Clock that starts with the given simultaneous readings of the
// monotonic clock and the wall clock.
func newClockAt(monotonic, wallClock time.Time, logger klog.Logger) *Clock {
	return &Clock{logger: logger, start: monotonic, unix: time.Duration(wallClock.UnixNano()), peers: map[string]peerOffset{}}
}

// Unix returns the estimated time at a reading of the monotonic clock, as a duration since
// the Unix epoch.
func (c *Clock) Unix(at time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.unix + at.Sub(c.start)
}

// SyncToWallClock compares the clock with the wall clock, and corrects it by slewing or by
// adopting a lasting step. It is called about once a second, with simultaneous readings of
// the monotonic clock and the wall clock.
func (c *Clock) SyncToWallClock(monotonic, wallClock time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	offset := time.Duration(wallClock.UnixNano()) - c.unix - monotonic.Sub(c.start)
	switch {
	case offset.Abs() <= maxSlewOffset:
		if !c.stepSince.IsZero() {
			c.logger.Info("wall clock matches the estimated time again")
		}
		c.stepSince = time.Time{}
		c.unix += max(-slewStep, min(slewStep, offset))
	case c.stepSince.IsZero():
		c.stepSince = monotonic
		c.logger.Info("wall clock has been stepped, following the monotonic clock", "aheadMs", offset.Milliseconds())
	case monotonic.Sub(c.stepSince) > lastingStepAge:
		c.applyOffset(offset, "step of the wall clock persists")
	}
}

// ObservePeer records the offset of a peer's estimate from this clock, positive if the peer is
// ahead, and corrects the clock by the median offset of the peers if that is too large.
func (c *Clock) ObservePeer(peer string, offset time.Duration, monotonic time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers[peer] = peerOffset{offset: offset, at: monotonic}
	var offsets []time.Duration
	for name, reported := range c.peers {
		if monotonic.Sub(reported.at) > peerOffsetAge {
			delete(c.peers, name)
			continue
		}
		offsets = append(offsets, reported.offset)
	}
	if len(offsets) < minPeers {
		return
	}
	slices.Sort(offsets)
	if median := offsets[len(offsets)/2]; median.Abs() > maxPeerOffset {
		c.applyOffset(median, "median offset of the peers is too large")
	}
}

// applyOffset corrects the clock by an offset. The mutex must be held.
func (c *Clock) applyOffset(offset time.Duration, reason string) {
	c.unix += offset
	c.stepSince = time.Time{}
	clear(c.peers)
	c.logger.Info("corrected the estimated time", "byMs", offset.Milliseconds(), "reason", reason)
}
