package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencyGain is the weight of a new response in the moving average, between 0 and 1.
	latencyGain = 0.3
	// latencyLifetime is how long an average keeps its full value. It then decays linearly
	// to 0 over the same time, so that a replica that was slow is retried.
	latencyLifetime = 2 * time.Second
	// leastPeriod is the period of which Least returns the shortest response time, together
	// with the period before. It is longer than a burst, in which every answer takes long, and
	// covers several requests of a node that sends one in 15 s to a replica.
	leastPeriod = time.Minute
	// leastMinHistory is the time that observations must cover for Least. A node that sends its
	// first requests in a burst would otherwise take their times for those without load.
	leastMinHistory = 5 * time.Second
	// unknownLeast stands for the shortest response time of a period without a complete response.
	unknownLeast time.Duration = math.MaxInt64
)

// LatencyAverage is a moving average of an endpoint's response times to this node. It is
// safe for concurrent use.
type LatencyAverage struct {
	latest atomic.Pointer[latencySample]
	// slowdown returns the slowdown that the endpoint reports. It may be nil.
	slowdown func(now time.Time) (factor float64, known bool)
}

// latencySample is an average and the time at which it was computed, and the shortest response
// times of the period that began at periodStart and of the one before it.
type latencySample struct {
	average time.Duration
	// usual is the average of the response times divided by the slowdown reported with them.
	usual           time.Duration
	at              time.Time
	least, previous time.Duration
	periodStart     time.Time
	// since is the time of the first complete response without a gap of two leastPeriods.
	since time.Time
}

// addLeast continues the periods of the last sample, which may be nil, with a response time or
// unknownLeast.
func (s *latencySample) addLeast(last *latencySample, took time.Duration) {
	switch {
	case last == nil || min(last.least, last.previous) == unknownLeast || s.at.Sub(last.periodStart) > 2*leastPeriod:
		s.least, s.previous, s.periodStart, s.since = took, took, s.at, s.at
		return
	case s.at.Sub(last.periodStart) > leastPeriod:
		s.least, s.previous, s.periodStart = took, last.least, s.at
	default:
		s.least, s.previous, s.periodStart = min(took, last.least), last.previous, last.periodStart
	}
	s.since = last.since
}

// Observe adds a response time. One of two concurrent observations may be lost.
func (l *LatencyAverage) Observe(took time.Duration) { l.observe(took, took) }

// ObserveError adds the response time of an error response. Least ignores it, since the replica
// may not have done the work.
func (l *LatencyAverage) ObserveError(took time.Duration) { l.observe(took, unknownLeast) }

// observe adds a response time to the average, and least to the shortest response times.
func (l *LatencyAverage) observe(took, least time.Duration) {
	last := l.latest.Load()
	sample := &latencySample{average: took, at: time.Now()}
	factor, _ := l.reportedSlowdown(sample.at)
	sample.usual = time.Duration(float64(took) / factor)
	if last != nil && sample.at.Sub(last.at) < latencyLifetime {
		sample.average = last.average + time.Duration(latencyGain*float64(took-last.average))
		sample.usual = last.usual + time.Duration(latencyGain*float64(sample.usual-last.usual))
	}
	sample.addLeast(last, least)
	l.latest.Store(sample)
}

func (l *LatencyAverage) reportedSlowdown(now time.Time) (factor float64, known bool) {
	if l.slowdown == nil {
		return 1, false
	}
	return l.slowdown(now)
}

// Least returns the shortest response time of the last one to two leastPeriods, or 0 if there is
// none or the observations cover less than leastMinHistory. It approximates the response
// time of the endpoint without load.
func (l *LatencyAverage) Least() time.Duration {
	last := l.latest.Load()
	if last == nil || last.at.Sub(last.since) < leastMinHistory {
		return 0
	}
	if least := min(last.least, last.previous); least < unknownLeast {
		return least
	}
	return 0
}

// ObserveAtLeast adds a lower bound of a response time, for a request that has no response
// after that time. It never reduces the average, and Least ignores it.
func (l *LatencyAverage) ObserveAtLeast(waited time.Duration) {
	if waited > l.Estimate() {
		l.observe(waited, unknownLeast)
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
