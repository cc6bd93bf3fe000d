package routing

import (
	"sync/atomic"
	"time"
)

const (
	// latencyGain is the weight of a new answer in the moving average, between 0 and 1.
	latencyGain = 0.3
	// latencyLifetime is how long an average counts in full. It fades to nothing over as
	// long again, so that a replica that was slow is tried anew.
	latencyLifetime = 2 * time.Second
)

// LatencyAverage is a moving average of how long an endpoint's answers to this node take.
// It is safe for use by many goroutines.
type LatencyAverage struct {
	newest atomic.Pointer[latencySample]
}

// latencySample is an average and when it was made.
type latencySample struct {
	average time.Duration
	at      time.Time
}

// Observe adds the time that an answer took. Of two calls at the same moment, one may be
// lost.
func (l *LatencyAverage) Observe(took time.Duration) {
	average := took
	if last := l.newest.Load(); last != nil && time.Since(last.at) < latencyLifetime {
		average = last.average + time.Duration(latencyGain*float64(took-last.average))
	}
	l.newest.Store(&latencySample{average: average, at: time.Now()})
}

// ObserveAtLeast adds a time that was waited without an answer. It never makes the
// average shorter.
func (l *LatencyAverage) ObserveAtLeast(waited time.Duration) {
	if waited > l.Estimate() {
		l.Observe(waited)
	}
}

// Estimate returns the average, 0 if nothing is known.
func (l *LatencyAverage) Estimate() time.Duration {
	last := l.newest.Load()
	if last == nil {
		return 0
	}
	faded := float64(time.Since(last.at)-latencyLifetime) / float64(latencyLifetime)
	return time.Duration(float64(last.average) * (1 - min(1, max(0, faded))))
}
