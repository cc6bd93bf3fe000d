package routing

import (
	"sync/atomic"
	"time"
)

const (
	// latencyShare is the part of a new answer in the average.
	latencyShare = 0.3
	// latencyMemory is for how long an average is believed whole; it fades over
	// as long again, so that an engine that was slow is tried anew.
	latencyMemory = 2 * time.Second
)

// LatencyAverage is how long an engine's answers take, as this node sees it.
// It is safe for use by many goroutines.
type LatencyAverage struct {
	newest atomic.Pointer[latencySample]
}

// latencySample is an average and when it was made.
type latencySample struct {
	average time.Duration
	at      time.Time
}

// Observe takes the time of one answer, or for how long one was waited for in
// vain. Two at the same moment may count as one.
func (l *LatencyAverage) Observe(took time.Duration) {
	average := took
	if standing := l.newest.Load(); standing != nil && time.Since(standing.at) < latencyMemory {
		average = standing.average + time.Duration(latencyShare*float64(took-standing.average))
	}
	l.newest.Store(&latencySample{average: average, at: time.Now()})
}

// ObserveAtLeast takes a time that was waited in vain; it never makes the
// average shorter.
func (l *LatencyAverage) ObserveAtLeast(waited time.Duration) {
	if waited > l.Estimate() {
		l.Observe(waited)
	}
}

// Now is the average, 0 if nothing is known.
func (l *LatencyAverage) Estimate() time.Duration {
	standing := l.newest.Load()
	if standing == nil {
		return 0
	}
	faded := float64(time.Since(standing.at)-latencyMemory) / float64(latencyMemory)
	return time.Duration(float64(standing.average) * (1 - min(1, max(0, faded))))
}
