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
	// stepAt is the time when the current step of the wall clock was detected, zero if
	// there is none.
	stepAt time.Time
	peers  map[string]peerOffset
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
func newClockAt(steady, timeOfDay time.Time, logger klog.Logger) *Clock {
	return &Clock{logger: logger, start: steady, unix: time.Duration(timeOfDay.UnixNano()), peers: map[string]peerOffset{}}
}

// Unix returns the estimated time at a reading of the monotonic clock, as a duration since
// the Unix epoch.
func (c *Clock) Unix(at time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.unix + at.Sub(c.start)
}

// SyncToWallClock compares the clock with the wall clock, and corrects it by slewing or by adopting
// a lasting step. It is called about once a second.
func (c *Clock) SyncToWallClock(steady, timeOfDay time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ahead := time.Duration(timeOfDay.UnixNano()) - c.unix - steady.Sub(c.start)
	switch {
	case ahead.Abs() <= maxSlewOffset:
		if !c.stepAt.IsZero() {
			c.logger.Info("time of day is right again")
		}
		c.stepAt = time.Time{}
		c.unix += max(-slewStep, min(slewStep, ahead))
	case c.stepAt.IsZero():
		c.stepAt = steady
		c.logger.Info("time of day has been stepped, going by the steady clock", "aheadMs", ahead.Milliseconds())
	case steady.Sub(c.stepAt) > lastingStepAge:
		c.adopt(ahead, "the step lasts")
	}
}

// ObservePeer records the offset of a peer's estimate from this clock, positive if the peer
// is ahead, and adopts the median offset if it is too large.
func (c *Clock) ObservePeer(peer string, offset time.Duration, steady time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers[peer] = peerOffset{offset: offset, at: steady}
	var offsets []time.Duration
	for name, reported := range c.peers {
		if steady.Sub(reported.at) > peerOffsetAge {
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
		c.adopt(median, "most peers differ")
	}
}

// adopt corrects the clock by an offset. The mutex must be held.
func (c *Clock) adopt(offset time.Duration, reason string) {
	c.unix += offset
	c.stepAt = time.Time{}
	clear(c.peers)
	c.logger.Info("estimate of the time corrected", "byMs", offset.Milliseconds(), "reason", reason)
}
