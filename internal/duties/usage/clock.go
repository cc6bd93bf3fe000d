package usage

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxSlewOffset is up to which difference the time of day is followed, and slewStep by
	// how much at each comparison. Machines are kept within some milliseconds of true
	// time.
	maxSlewOffset = 100 * time.Millisecond
	slewStep      = 5 * time.Millisecond
	// lastingStepAge is after how long a step of the time of day counts as a
	// correction. Clocks that jump for seconds are back before.
	lastingStepAge = time.Minute
	// maxPeerOffset is beyond which difference the peers' estimate replaces this node's
	// own, and minPeers how many of them must have sent theirs.
	maxPeerOffset = 250 * time.Millisecond
	minPeers      = 3
	// peerOffsetAge is how long a peer's estimate counts.
	peerOffsetAge = 30 * time.Second
)

// Clock estimates true time. It follows the steady clock from the time of day at
// the start of the process, so that steps of the time of day do not move it: they
// are logged, and followed only when they last or when peers agree. It is safe for
// use by many goroutines.
type Clock struct {
	logger klog.Logger

	mutex sync.Mutex
	// start is an instant of the steady clock, and unix the time of day then.
	start time.Time
	unix  time.Duration
	// stepAt is since when the time of day has differed, zero if it does not.
	stepAt time.Time
	peers  map[string]peerOffset
}

// peerOffset is by how much a peer's estimate is ahead of this node's.
type peerOffset struct {
	offset time.Duration
	at     time.Time
}

// NewClock returns a clock that starts from the time of day now.
func NewClock(logger klog.Logger) *Clock { return newClockAt(time.Now(), time.Now(), logger) }

// newClockAt returns a clock for a steady instant and the time of day then.
func newClockAt(steady, timeOfDay time.Time, logger klog.Logger) *Clock {
	return &Clock{logger: logger, start: steady, unix: time.Duration(timeOfDay.UnixNano()), peers: map[string]peerOffset{}}
}

// Unix returns the estimated time at an instant of the steady clock, as a duration since
// the start of 1970.
func (c *Clock) Unix(at time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.unix + at.Sub(c.start)
}

// Compare compares the clock with the time of day. It is called about once a second.
func (c *Clock) Compare(steady, timeOfDay time.Time) {
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

// ObservePeer takes a peer's estimate: by how much it is ahead of this clock.
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

// adopt moves the clock. The mutex must be held.
func (c *Clock) adopt(offset time.Duration, reason string) {
	c.unix += offset
	c.stepAt = time.Time{}
	clear(c.peers)
	c.logger.Info("estimate of the time corrected", "byMs", offset.Milliseconds(), "reason", reason)
}
