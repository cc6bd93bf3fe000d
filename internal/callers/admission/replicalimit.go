package admission

import (
	"math"
	"time"
)

const (
	// targetDelayFraction is the fraction of the latency objective that a replica should take
	// for a request. The rest is left for the wait at the node and for replicas that become two
	// to three times slower while the request is there.
	targetDelayFraction = 0.25
	// baseDelayTolerance is the multiple of the unloaded response time up to which an answer is
	// no sign of load, whatever the objective.
	baseDelayTolerance = 1.3
	// minDelayFactor and rejectionFactor are the factors by which one late answer, at most, and
	// one rejection reduce the window.
	minDelayFactor  = 0.4
	rejectionFactor = 0.15
	// windowGrowth is the relative growth of the window after an answer in no time at all;
	// windowStep is added in addition, so that the windows of different nodes converge.
	windowGrowth = 0.2
	windowStep   = 0.002
	// minWindow is the smallest window. With it a node still tries a replica every one to two
	// seconds.
	minWindow = 0.04
	// maxLimitedWindow is the window from which a replica is no longer limited.
	maxLimitedWindow = 4.0
	// recoveryDelay is the time without a sign of load after which the window doubles every
	// recoveryDoubling: a node whose callers have left gets no answers that could raise it.
	recoveryDelay    = 800 * time.Millisecond
	recoveryDoubling = 150 * time.Millisecond
	// confirmationLifetime is the time after a late answer or a rejection in which answers beyond
	// the target and reports reduce the window. Work that usually takes longer than the target, or
	// a report that is always too high, would otherwise keep a limit for good. Bursts last up to
	// 5 s, and their control is not to change within them.
	confirmationLifetime = 5 * time.Second
	// lateRunLength is the number of successive late answers, over at least confirmationLifetime,
	// after which a limited replica counts as slow rather than overloaded: where nodes limit an
	// overloaded replica, fewer than a tenth of its answers are late.
	lateRunLength = 8
	// slowLifetime is how long a replica counts as slow after its last late answer.
	slowLifetime = time.Minute
	// delayGain is the weight of a new answer in the average response time.
	delayGain = 0.8
	// failureHold is how long a replica whose connection failed does not count as capacity.
	failureHold = 500 * time.Millisecond
	// minMaxCredit is the smallest bound on the sends that a replica's limit accumulates while
	// no request arrives.
	minMaxCredit = 2.0
)

// ReplicaLoad is the load that a replica reports with an answer. The zero value means that it
// reports none.
type ReplicaLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes, relative to the usual time.
	Slowdown float64
}

// Answer describes the end of an attempt at a replica, or an attempt that has no response
// after Took.
type Answer struct {
	Replica   string
	Objective time.Duration
	Took      time.Duration
	// Base is the response time of the replica without load, 0 if unknown.
	Base time.Duration
	// InFlight is the number of this node's requests in progress at the replica.
	InFlight int
	// Pending is set for an attempt that has no response yet.
	Pending bool
	Load    ReplicaLoad
}

// targetDelay returns the response time up to which the answer is no sign of load.
func (a *Answer) targetDelay() time.Duration {
	return max(time.Duration(targetDelayFraction*float64(a.Objective)), time.Duration(baseDelayTolerance*float64(a.Base)))
}

// Late reports whether the answer exceeded its objective because of load.
func (a *Answer) Late() bool { return a.Took > a.Objective && a.Took > a.targetDelay() }

// expectedDelay returns the response time for the limit: the measured one, or that which
// follows from the reported load if it is longer. The report never makes a replica look faster
// than the node measured.
func (a *Answer) expectedDelay() time.Duration {
	if a.Load.Slots <= 0 || a.Base <= 0 {
		return a.Took
	}
	rounds := max(1, float64(a.Load.Running+a.Load.Waiting+1)/float64(a.Load.Slots))
	return max(a.Took, time.Duration(rounds*max(1, a.Load.Slowdown)*float64(a.Base)))
}

// replicaLimit limits the sends of this node to one replica. The window is the number of
// requests in progress that the node may have there on average. It may be below one: the limit
// is the rate window/delay, so a longer response time reduces the rate at once.
type replicaLimit struct {
	// window is 0 if the replica is not limited.
	window float64
	// delay is the average response time in seconds.
	delay float64
	// credit is the number of sends that the rate allows at creditAt.
	credit   float64
	creditAt time.Time
	// signaledAt is the time of the last sign of load, reducedAt of the last reduction, and
	// confirmedAt of the last late answer or rejection.
	signaledAt, reducedAt, confirmedAt time.Time
	// recoveredAt is the time up to which the recovery has been added to the window.
	recoveredAt time.Time
	failedUntil time.Time
	lateRun     lateRun
}

// lateRun describes the successive late answers of a limited replica.
type lateRun struct {
	count int
	since time.Time
	// least is the shortest response time of the run.
	least time.Duration
}

// add adds an answer to the run, or ends the run if the answer was in time.
func (r *lateRun) add(now time.Time, answer *Answer) {
	switch {
	case !answer.Late():
		*r = lateRun{}
	case answer.Pending:
	case r.count == 0:
		*r = lateRun{count: 1, since: now, least: answer.Took}
	default:
		r.count++
		r.least = min(r.least, answer.Took)
	}
}

// showsSlowReplica reports whether limits did not shorten the response times, so that load is
// not their cause.
func (r *lateRun) showsSlowReplica(now time.Time) bool {
	return r.count >= lateRunLength && now.Sub(r.since) >= confirmationLifetime
}

func (l *replicaLimit) limited() bool { return l.window > 0 }

// rate returns the sends per second.
func (l *replicaLimit) rate() float64 { return l.window / l.delay }

// update adds the credit and the recovery of the time until now.
func (l *replicaLimit) update(now time.Time) {
	if !l.limited() {
		return
	}
	l.credit = min(max(minMaxCredit, l.window), l.credit+l.rate()*now.Sub(l.creditAt).Seconds())
	l.creditAt = now
	from := l.signaledAt.Add(recoveryDelay)
	if l.recoveredAt.After(from) {
		from = l.recoveredAt
	}
	if now.After(from) {
		l.window *= math.Exp2(float64(now.Sub(from)) / float64(recoveryDoubling))
		l.recoveredAt = now
	}
	if l.window >= maxLimitedWindow && now.Sub(l.signaledAt) > recoveryDelay {
		l.window = 0
	}
}

// observe adds an answer.
func (l *replicaLimit) observe(now time.Time, answer *Answer) {
	delay, target := answer.expectedDelay().Seconds(), answer.targetDelay().Seconds()
	if answer.Late() {
		l.confirmedAt = now
	}
	if !l.limited() {
		if answer.Late() {
			l.reduce(now, answer, max(minDelayFactor, target/delay))
		}
		return
	}
	l.update(now)
	if !l.limited() {
		return
	}
	l.lateRun.add(now, answer)
	l.delay += delayGain * (delay - l.delay)
	if delay <= target {
		l.window += windowStep + windowGrowth*(1-delay/target)*l.window
	} else if now.Sub(l.confirmedAt) <= confirmationLifetime {
		l.reduce(now, answer, max(minDelayFactor, target/delay))
	}
}

// reject adds a rejection because of load.
func (l *replicaLimit) reject(now time.Time, answer *Answer) {
	l.update(now)
	l.confirmedAt, l.lateRun = now, lateRun{}
	l.reduce(now, answer, rejectionFactor)
}

// reduce multiplies the window by a factor, at most once in the time of an answer, since
// answers to requests that were in progress together report the same load.
func (l *replicaLimit) reduce(now time.Time, answer *Answer, factor float64) {
	if !l.limited() {
		l.window = max(1, float64(answer.InFlight))
		l.delay = max(answer.expectedDelay(), 2*answer.Base).Seconds()
		if answer.Base == 0 {
			l.delay = max(answer.expectedDelay(), answer.targetDelay()).Seconds()
		}
		l.credit, l.creditAt, l.reducedAt, l.lateRun = 0, now, time.Time{}, lateRun{}
	}
	l.signaledAt = now
	if now.Sub(l.reducedAt).Seconds() < l.delay {
		return
	}
	l.reducedAt = now
	l.window = max(minWindow, l.window*factor)
}

// neededCredit is the credit at which a request of a standing may be sent. A send costs 1.
// With fewer than one request in progress a node, few requests wait, so the order of the queue
// alone would seldom matter: favored requests may be sent in advance, and requests that yield
// leave something for others.
var neededCredit = map[standing]float64{favored: -1, neutral: 1, yielding: 1.75}

// allows reports whether a request may be sent now.
func (l *replicaLimit) allows(standing standing) bool {
	return !l.limited() || l.credit >= neededCredit[standing]
}

// wait returns the seconds until allows returns true.
func (l *replicaLimit) wait(standing standing) float64 {
	if l.allows(standing) {
		return 0
	}
	return (neededCredit[standing] - l.credit) / l.rate()
}

func (l *replicaLimit) take() {
	if l.limited() {
		l.credit--
	}
}
