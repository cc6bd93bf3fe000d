package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// speedClassRatio is the ratio between the intervals of successive speed classes. Smaller
	// differences are within the error of an average over usualPeriod.
	speedClassRatio = 1.2
	// runTimeMargin is the factor by which the run time of an item is overestimated before it
	// is placed at a slower replica. Length hints are off by 1.6 one time in three.
	runTimeMargin = 1.5
	// moveCost is the expected time that a move costs: the prefill of the text so far and the
	// event in progress.
	moveCost = 200 * time.Millisecond
	// plausibleLength is the multiple of the expected length that a text may plausibly have
	// while it is shorter than expected.
	plausibleLength = 4
	// longTextsPerReplica is the number of the longest texts that count as a full load. A
	// replica's memory holds about three; beyond that, it preempts the newest run.
	longTextsPerReplica = 3
)

// Work is the remaining work of an item.
type Work struct {
	// TextEvents is the number of events that the whole text is expected to have, at least
	// those so far.
	TextEvents int
	// Remaining is the expected number of further events.
	Remaining int
	// MaxRemaining is the number of further events that the item may plausibly have.
	MaxRemaining int
	// LongestText is the number of events of the model's longest text, 0 if unknown.
	LongestText int
	// TimeLeft is the time until the item's job must be complete.
	TimeLeft time.Duration
}

// NewWork returns the work of an item. expected is its expected number of events, 0 if unknown,
// generated the number of events so far, and longest the number that no text is expected to exceed,
// 0 if unknown.
func NewWork(expected, generated, longest int, timeLeft time.Duration) Work {
	work := Work{TextEvents: max(expected, generated), Remaining: Remaining(expected, generated, longest), LongestText: longest, TimeLeft: timeLeft}
	switch {
	case generated < expected && longest > 0:
		work.MaxRemaining = min(longest, plausibleLength*expected) - generated
	case generated < expected:
		work.MaxRemaining = plausibleLength*expected - generated
	default:
		work.MaxRemaining = longest - generated
	}
	work.MaxRemaining = max(work.MaxRemaining, work.Remaining)
	return work
}

// runTime returns the expected time to complete the work at an interval between events.
func (w Work) runTime(interval time.Duration) time.Duration {
	return time.Duration(w.Remaining) * interval
}

// maxRunTime returns the time that the work may plausibly take at an interval.
func (w Work) maxRunTime(interval time.Duration) time.Duration {
	return time.Duration(w.MaxRemaining) * interval
}

// PickByCompletion returns the replica with a free slot at which an item is placed if its job
// depends on the speed of replicas, nil if there is none. It chooses the slowest speed class
// that the item may use, so that the fast replicas stay free for long items, or the fastest
// class if the item may use none of the slower ones; and the replica with the least work within
// the class. Failing, disturbed and unresponsive replicas are used only if no other has a free
// slot.
func PickByCompletion(paces Paces, replicas []*Replica, work Work, preference Preference) *Replica {
	allCandidatesFailed := allFailed(replicas, preference.FailedReplicas)
	var best *Replica
	var bestRating completionRating
	for _, candidate := range replicas {
		if !candidate.hasCapacity() || (!allCandidatesFailed && slices.Contains(preference.FailedReplicas, candidate.Name)) {
			continue
		}
		rating := paces.rate(candidate, work)
		rating.tooSlow = rating.tooSlow || preference.Fastest
		if best == nil || rating.less(bestRating) {
			best, bestRating = candidate, rating
		}
	}
	return best
}

// completionRating orders the replicas for an item, best first.
type completionRating struct {
	// lastResort is set for replicas that are used only if no other has a free slot.
	lastResort bool
	// tooSlow is set if the item may not use the speed class.
	tooSlow bool
	class   int
	// load is the utilization of slots and memory, 1 for a full replica, plus bias.
	load float64
}

func (r completionRating) less(other completionRating) bool {
	switch {
	case r.lastResort != other.lastResort:
		return !r.lastResort
	case r.tooSlow != other.tooSlow:
		return !r.tooSlow
	case r.class != other.class:
		return (r.class < other.class) == r.tooSlow
	}
	return r.load < other.load
}

// rate rates a replica for an item.
func (p Paces) rate(candidate *Replica, work Work) completionRating {
	interval := p.UsualAt(candidate.Name)
	return completionRating{
		lastResort: p.isLastResort(candidate),
		tooSlow:    !p.mayUse(work, interval), class: p.speedClass(interval),
		load: candidate.completionLoad(work.LongestText),
	}
}

// completionLoad returns the utilization of the replica's slots and memory. longest is the
// number of events of the longest text.
func (r *Replica) completionLoad(longest int) float64 {
	load := float64(r.Load) / float64(r.Slots)
	if longest > 0 {
		load += float64(r.ExpectedEvents) / float64(longTextsPerReplica*longest)
	}
	if r.connected {
		load -= connectionBonus
	}
	return load
}

// speedClass returns the class of an interval: 0 for the replicas that are about as fast as the
// fastest quarter, and higher for slower ones.
func (p Paces) speedClass(interval time.Duration) int {
	if p.fastQuarter == 0 || interval <= p.fastQuarter {
		return 0
	}
	return int(math.Log(float64(interval)/float64(p.fastQuarter)) / math.Log(speedClassRatio))
}

// mayUse reports whether an item may be placed at a replica with an interval: one of the fastest
// class, or a slower one at which it probably ends before the last moment at which it could
// still move to a fast replica and be in time, should its text be as long as is plausible.
func (p Paces) mayUse(work Work, interval time.Duration) bool {
	if p.speedClass(interval) == 0 {
		return true
	}
	slack := work.TimeLeft - moveCost - work.maxRunTime(p.fastQuarter)
	// Each second at the slower replica generates as much as fastQuarter/interval seconds at a
	// fast one.
	lastMove := float64(slack) / (1 - float64(p.fastQuarter)/float64(interval))
	return runTimeMargin*float64(work.runTime(interval)) <= lastMove
}
