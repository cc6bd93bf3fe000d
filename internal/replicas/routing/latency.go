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
	// slowdown returns the slowdown that the endpoint reports. It may be nil.
	slowdown func(now time.Time) (factor float64, known bool)
}

// latencySample is an average and the time at which it was computed.
type latencySample struct {
	average time.Duration
	// usual is the average of the response times divided by the slowdown reported with them.
	usual time.Duration
	at    time.Time
}

// Observe adds a response time. One of two concurrent observations may be lost.
func (l *LatencyAverage) Observe(took time.Duration) {
	now := time.Now()
	factor, _ := l.reportedSlowdown(now)
	average, usual := took, time.Duration(float64(took)/factor)
	if last := l.latest.Load(); last != nil && now.Sub(last.at) < latencyLifetime {
		average = last.average + time.Duration(latencyGain*float64(took-last.average))
		usual = last.usual + time.Duration(latencyGain*float64(usual-last.usual))
	}
	l.latest.Store(&latencySample{average: average, usual: usual, at: now})
}

func (l *LatencyAverage) reportedSlowdown(now time.Time) (factor float64, known bool) {
	if l.slowdown == nil {
		return 1, false
	}
	return l.slowdown(now)
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
	return last.decayed(last.average, time.Now())
}

// reportedExcess returns by how much the response time that follows from the reported slowdown
// exceeds Estimate. It is 0 without a current report, and never negative: a report does not make
// an endpoint faster than this node observes it.
func (l *LatencyAverage) reportedExcess() time.Duration {
	last := l.latest.Load()
	if last == nil {
		return 0
	}
	now := time.Now()
	factor, known := l.reportedSlowdown(now)
	if !known {
		return 0
	}
	return max(0, last.decayed(time.Duration(float64(last.usual)*factor)-last.average, now))
}

// decayed returns what is left of a value of the sample.
func (s *latencySample) decayed(value time.Duration, now time.Time) time.Duration {
	decayed := float64(now.Sub(s.at)-latencyLifetime) / float64(latencyLifetime)
	return time.Duration(float64(value) * (1 - min(1, max(0, decayed))))
}
