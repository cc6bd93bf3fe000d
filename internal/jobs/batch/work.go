package batch

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/wire"
)

// work describes the job for heartbeats.
func (j *job) work() wire.JobWork {
	tokens, open := 0.0, 0
	for _, counted := range j.groups {
		open += counted.open
	}
	for _, submitted := range j.submission.Items {
		tokens += submitted.ExpectedTokens
	}
	return wire.JobWork{Job: j.id, Model: j.submission.Model, ExpectedTokens: uint64(tokens), Tenant: j.record.Tenant, Epoch: uint32(j.record.Epoch), Open: uint32(open), Items: uint32(len(j.submission.Items))}
}

// workOf describes a job for heartbeats. Its routes and entry region are named only if
// allowed regions are declared, since they serve no other purpose.
func (s *Service) workOf(held *job) wire.JobWork {
	work := held.work()
	if s.config.Directory.View().Configuration.RestrictsRegions() {
		from := originOf(held.record)
		work.Routes, work.Entry = from.routes, from.entryRegion
	}
	return work
}

// describeStep sets the fields of a job's work by which owners compare their jobs. waiting is
// the number of its items that wait. The mutex must be held.
func (s *Service) describeStep(work *wire.JobWork, held *job, waiting int, now time.Time) {
	work.Step, work.Waiting = int64(held.submission.Step), uint32(waiting)
	if held.deadline.IsZero() {
		return
	}
	work.LeftMs = held.deadline.Sub(now).Milliseconds()
	if work.LeftMs == 0 {
		// 0 means that there is no deadline.
		work.LeftMs = -1
	}
	work.Critical = s.scheduler.isCritical(held, s.replicas.Paces())
	lag := s.scheduler.lagOf(held, now)
	work.LagMs = uint32(lag.Milliseconds())
	s.metrics.trainerLag.WithLabelValues(held.submission.Model).Set(lag.Seconds())
}

// waitingItems returns the number of items that wait for a replica, by job. The mutex must be
// held.
func (s *scheduler) waitingItems() map[*job]int {
	counts := map[*job]int{}
	for _, waiting := range s.queue {
		counts[waiting.job]++
	}
	return counts
}

// learnSteps records the jobs in a heartbeat of another node and when they are due. The mutex
// must be held.
func (s *Service) learnSteps(heartbeat *wire.NodeBeat, now time.Time) {
	s.openJobs.Learn(heartbeat.Node, heartbeat.Work, now)
	for _, work := range heartbeat.Work {
		if work.LeftMs != 0 && s.jobs[work.Job] == nil {
			s.trainers.Observe(work.Model, work.Step, now.Add(time.Duration(work.LeftMs)*time.Millisecond), now)
		}
	}
}

// Demand returns the mean work, in expected tokens, of the recent batch jobs of each
// model on all nodes, and the number of items of the largest of them.
func (s *Service) Demand() weightorders.Demand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.demand.Mean()
}

// ItemCounts returns the number of items of batch jobs that run at a service's replicas,
// and of those that run or wait, on all nodes whose heartbeats are recent.
func (s *Service) ItemCounts(service string) (running, open int) {
	view := s.config.Directory.View()
	if view.Configuration == nil || view.Configuration.Services[service].Engine == nil {
		return 0, 0
	}
	models := view.Configuration.Services[service].Engine.Models
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, held := range s.jobs {
		if held.open() && slices.Contains(models, held.submission.Model) {
			open += int(held.work().Open)
		}
	}
	now := time.Now()
	open += s.replicas.OpenItems(models, now)
	for id, load := range s.replicas.Loads(now) {
		if replica := view.Replicas[id]; replica != nil && replica.Service == service {
			running += load
		}
	}
	return running, open
}
