package batch

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
	"github.com/pathtally/pathtally/internal/jobs/statistics"
)

// slotLeaver decides which free slots are left to other owners during one round of
// assignments. The mutex must be held while it is used.
type slotLeaver struct {
	pool *pool
	// others are the jobs of other owners with items that wait, and competitors their views.
	others      []statistics.OpenJob
	competitors []placement.Competitor
	// sharing caches sharingAt by replica.
	sharing map[string][]placement.Competitor
}

// newSlotLeaver returns a slotLeaver for a pool.
func (s *scheduler) newSlotLeaver(pool *pool) *slotLeaver {
	leaver := &slotLeaver{pool: pool, sharing: map[string][]placement.Competitor{}}
	current := s.newOthers()
	for _, other := range current.others {
		if other.Waiting > 0 {
			leaver.others, leaver.competitors = append(leaver.others, other), append(leaver.competitors, current.competitorOf(other))
		}
	}
	for replica, since := range s.slotsLeft {
		if pool.now.Sub(since) > placement.MaxSlotLeave+replicastate.SlotUseTimeout {
			delete(s.slotsLeft, replica)
		}
	}
	return leaver
}

// leaves reports whether an item leaves the free slots of a replica to other owners. They are
// left for placement.MaxSlotLeave, and then not again until the heartbeats on which the
// decision was based have been replaced.
func (l *slotLeaver) leaves(waiting *item, chosen *placement.Replica) bool {
	if len(l.others) == 0 || !waiting.view.Competes {
		return false
	}
	scheduler := l.pool.scheduler
	since, left := scheduler.slotsLeft[chosen.Name]
	if left && l.pool.now.Sub(since) >= placement.MaxSlotLeave {
		return false
	}
	sharing := l.sharingAt(chosen.Name)
	if len(sharing) == 0 || !placement.LeavesSlot(waiting.view, sharing, l.sharedSlots(waiting)) {
		return false
	}
	if !left {
		scheduler.slotsLeft[chosen.Name] = l.pool.now
		scheduler.metrics.slotsLeft.Inc()
	}
	scheduler.logSlotLeft(waiting, chosen.Name)
	return true
}

// sharedSlots returns the number of free slots that an item shares with other owners.
func (l *slotLeaver) sharedSlots(waiting *item) int {
	free := 0
	for _, replica := range l.pool.replicasFor(waiting) {
		if replica.FreeSlots() > 0 && len(l.sharingAt(replica.Name)) > 0 {
			free += replica.FreeSlots()
		}
	}
	return free
}

// sharingAt returns the competitors whose models a replica runs.
func (l *slotLeaver) sharingAt(replica string) []placement.Competitor {
	sharing, known := l.sharing[replica]
	if known {
		return sharing
	}
	for i, other := range l.others {
		if l.pool.runsModel(replica, other.Model) {
			sharing = append(sharing, l.competitors[i])
		}
	}
	l.sharing[replica] = sharing
	return sharing
}

// yieldRuns cancels runs of steps that cannot be in time if items of steps that can need
// their slots. Each item yields once.
func (s *scheduler) yieldRuns() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.runs) == 0 {
		return
	}
	current := s.newCompetition()
	var holders []placement.Holder
	var runs []*itemRun
	for running := range s.runs {
		terms := current.termsOf(running.item.job)
		if !terms.view.Yields || running.item.yielded {
			continue
		}
		interval := current.paces.UsualAt(running.endpoint.Name)
		holders = append(holders, placement.Holder{
			Index: len(runs), Replica: running.endpoint.Name, Priority: terms.view.Priority,
			RemainingTime: time.Duration(running.item.remainingEvents(terms.rate)) * interval,
		})
		runs = append(runs, running)
	}
	if len(holders) == 0 {
		return
	}
	current.reportYields()
	for _, index := range placement.Yields(holders, current.demands(runs)) {
		runs[index].item.yielded = true
		runs[index].abort(&RescheduledError{Cause: ErrMoved, Reason: placement.ReasonYields})
	}
}

// demands returns the items that need a slot at once for their steps to be in time: those of
// this node, and those of other owners that can run at the replicas of the holders' jobs. Of
// the latter only the number is known; they count from the time at which a long text of
// their step would be at risk.
func (c *competition) demands(holders []*itemRun) []placement.Demand {
	pool := c.scheduler.newPool()
	pool.itemsRunning = true
	var demands []placement.Demand
	for _, waiting := range c.scheduler.queue {
		if view := c.viewOf(waiting); view.IsAtRisk() && !c.now.Before(waiting.retryAt) {
			demands = append(demands, placement.Demand{Priority: view.Priority, Replicas: pool.replicasFor(waiting), Slots: 1})
		}
	}
	longest := 0
	var replicas []*placement.Replica
	seen := map[*job]bool{}
	for _, holder := range holders {
		if held := holder.item.job; !seen[held] {
			seen[held] = true
			longest = max(longest, c.termsOf(held).rate.Longest())
			replicas = append(replicas, pool.replicasFor(holder.item)...)
		}
	}
	for _, other := range c.others {
		competitor := c.competitorOf(other)
		if competitor.Waiting == 0 || !c.paces.IsLongTextAtRisk(longest, competitor.TimeLeft) {
			continue
		}
		usable := slices.DeleteFunc(slices.Clone(replicas), func(replica *placement.Replica) bool { return !pool.runsModel(replica.Name, other.Model) })
		demands = append(demands, placement.Demand{Priority: competitor.Priority, Replicas: usable, Slots: competitor.Waiting})
	}
	return demands
}

// runsModel reports whether a replica has weights of a model.
func (p *pool) runsModel(replica, model string) bool {
	return p.scheduler.replicas.Version(p.view.Replicas[replica], replica, model) > 0
}

// reportYields logs each job once when it is found that it cannot be in time.
func (c *competition) reportYields() {
	for of, terms := range c.terms {
		if !terms.view.Yields || of.yieldLogged {
			continue
		}
		of.yieldLogged = true
		c.scheduler.metrics.yielded.Inc()
		c.scheduler.config.Logger.Info("batch job yields: it cannot be in time", "request", of.id, "step", of.submission.Step, "model", of.submission.Model,
			"leftMs", terms.view.TimeLeft.Milliseconds(), "lagMs", terms.view.Lag.Milliseconds())
	}
}

// reportPassedOver counts items that have been passed over for too long, and logs the first
// of each job. The mutex must be held.
func (s *scheduler) reportPassedOver(waiting *item) {
	if !waiting.view.IsOverdue() || waiting.passedOver {
		return
	}
	waiting.passedOver = true
	s.metrics.passedOver.Inc()
	if waiting.job.passedOverLogged {
		return
	}
	waiting.job.passedOverLogged = true
	s.config.Logger.Info("batch job passed over for too long, its items run next", "request", waiting.job.id, "item", waiting.ID,
		"step", waiting.job.submission.Step, "model", waiting.job.submission.Model, "waitedMs", waiting.view.Waited.Milliseconds(),
		"leftMs", waiting.view.TimeLeft.Milliseconds(), "lagMs", waiting.view.Lag.Milliseconds())
}

// logSlotLeft logs the first slot that a job leaves to another owner. The mutex must be held.
func (s *scheduler) logSlotLeft(waiting *item, replica string) {
	if waiting.job.slotLeftLogged {
		return
	}
	waiting.job.slotLeftLogged = true
	s.config.Logger.Info("batch job leaves slots to other owners", "request", waiting.job.id, "item", waiting.ID, "replica", replica,
		"step", waiting.job.submission.Step, "model", waiting.job.submission.Model, "leftMs", waiting.view.TimeLeft.Milliseconds())
}
