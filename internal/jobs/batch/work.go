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
