package placement

import "time"

const (
	// usualPeriod is the period over which a usual pace is averaged: several times the length
	// of a short disturbance, so that one of them changes the average little.
	usualPeriod = 10 * time.Second
	// minUsualTime is how long runs must have been observed before a usual pace is known.
	minUsualTime = time.Second
	// disturbedRatio is the multiple of the usual interval from which a replica counts as
	// disturbed.
	disturbedRatio = 1.5
	// shortDisturbance is the length of a disturbance up to which runs stay: moving one costs
	// about as much as such a disturbance delays it.
	shortDisturbance = 800 * time.Millisecond
	// lastingDisturbance is the length of a disturbance from which it is the usual pace.
	lastingDisturbance = 10 * time.Second
)

// UsualPace estimates the time between events of a run at one replica over a longer period, so
// that short disturbances, such as those by other work on its machine, do not look like a
// change of its speed. The zero value is unknown.
type UsualPace struct {
	// intervals is the decayed sum of the intervals and events their decayed number.
	intervals float64
	events    float64
	// observed is the time for which runs have been observed, at most usualPeriod.
	observed time.Duration
	// slow and fast are for how long the recent pace has been slower or faster than the usual
	// one by disturbedRatio.
	slow, fast time.Duration
	recent     time.Duration
}

// Observe records the time between two events of a run. runs is the number of runs that this
// node has at the replica, and recent the recent interval there, 0 if unknown. While the replica
// is disturbed, observations do not count, so that the usual interval is known when it recovers.
func (u *UsualPace) Observe(interval time.Duration, runs int, recent time.Duration) {
	elapsed := interval / time.Duration(max(1, runs))
	u.recent = recent
	u.compare(elapsed)
	if u.slow > lastingDisturbance || u.fast > shortDisturbance {
		// Starting from the recent pace keeps the interval known: an unknown one counts as the
		// median of the replicas.
		*u = UsualPace{recent: recent, intervals: float64(recent), events: 1, observed: minUsualTime}
	}
	if u.IsSlowed() {
		return
	}
	decay := 1 - min(1, float64(elapsed)/float64(usualPeriod))
	u.intervals = u.intervals*decay + float64(interval)
	u.events = u.events*decay + 1
	u.observed = min(u.observed+elapsed, usualPeriod)
}

// compare measures how long the recent pace has differed from the usual one.
func (u *UsualPace) compare(elapsed time.Duration) {
	usual := u.average()
	u.slow += elapsed
	u.fast += elapsed
	if usual == 0 || float64(u.recent) < disturbedRatio*float64(usual) {
		u.slow = 0
	}
	if usual == 0 || u.recent == 0 || disturbedRatio*float64(u.recent) > float64(usual) {
		u.fast = 0
	}
}

// IsSlowed reports whether the replica has been disturbed for longer than a short disturbance.
func (u *UsualPace) IsSlowed() bool { return u.slow > shortDisturbance }

// average returns the average interval, 0 if unknown.
func (u *UsualPace) average() time.Duration {
	if u.observed < minUsualTime || u.events == 0 {
		return 0
	}
	return time.Duration(u.intervals / u.events)
}

// Interval returns the interval to expect of the next events: the usual one, or the recent one
// if the replica has been disturbed for longer and fresh is set, because the last event was
// observed recently. It is 0 if unknown.
func (u *UsualPace) Interval(fresh bool) time.Duration {
	if fresh && u.IsSlowed() {
		return u.recent
	}
	return u.average()
}

// Resume forgets a disturbance after a time without observations, so that a replica that is
// avoided because of it is used again.
func (u *UsualPace) Resume() { u.slow, u.fast = 0, 0 }
