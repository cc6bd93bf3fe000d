package routing

import (
	"sync/atomic"
	"time"
)

const (
	// latencyGain is the weight of a new response in the moving average, between 0 and 1.
	latencyGain = 0.3
	// latencyLifetime is how long an average keeps its full value. It then decays linearly
	// to 0 over the same time, so that a replica that was slow is retried.
	latencyLifetime = 2 * time.Second
)

// LatencyAverage is a moving average of an endpoint's response times to this node. It is
// safe for concurrent use.
type LatencyAverage struct {
	latest atomic.Pointer[latencySample]
}

// latencySample is an average and the time at which it was computed.
type latencySample struct {
	average time.Duration
	at      time.Time
}

// Observe adds a response time. One of two concurrent observations may be lost.
func (l *LatencyAverage) Observe(took time.Duration) {
	average := took
	if last := l.latest.Load(); last != nil && time.Since(last.at) < latencyLifetime {
		average = last.average + time.Duration(latencyGain*float64(took-last.average))
	}
	l.latest.Store(&latencySample{average: average, at: time.Now()})
}

// ObserveAtLeast adds a lower bound of a response time, for a request that has no response
// after that time. It never reduces the average.
func (l *LatencyAverage) ObserveAtLeast(waited time.Duration) {
	if waited > l.Estimate() {
		l.Observe(waited)
	}
}

// Estimate returns the average, or 0 without observations.
func (l *LatencyAverage) Estimate() time.Duration {
	last := l.latest.Load()
	if last == nil {
		return 0
	}
	decayed := float64(time.Since(last.at)-latencyLifetime) / float64(latencyLifetime)
	return time.Duration(float64(last.average) * (1 - min(1, max(0, decayed))))
}
