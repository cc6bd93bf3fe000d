package batch

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/jobs/statistics"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// competition is a snapshot of the open jobs for decisions about the order of their items.
// Values that the items of a job share are computed once. The mutex must be held while it is
// used.
type competition struct {
	scheduler     *scheduler
	now           time.Time
	configuration *directory.Configuration
	paces         placement.Paces
	// own are the jobs with items that wait or run here, and others those of other owners.
	own    map[*job]bool
	others []statistics.OpenJob
	terms  map[*job]*jobTerms
	// services holds the services that may run a route's items, by route.
	services map[string][]string
	// shortestObjective is the shortest completion objective of the own jobs, 0 for none.
	shortestObjective time.Duration
}

// jobTerms are the values that the items of a job share.
type jobTerms struct {
	// view has the fields of placement.Item that are the same for all items.
	view placement.Item
	rate *placement.EventRate
	// interval is the expected time between events.
	interval time.Duration
}

// newCompetition returns a snapshot of the open jobs. The mutex must be held.
func (s *scheduler) newCompetition() *competition {
	c := s.newOthers()
	c.paces, c.own, c.terms = s.replicas.Paces(), map[*job]bool{}, map[*job]*jobTerms{}
	for _, waiting := range s.queue {
		c.own[waiting.job] = true
	}
	for running := range s.runs {
		c.own[running.item.job] = true
	}
	for of := range c.own {
		if objective := of.completionObjective; objective > 0 && (c.shortestObjective == 0 || objective < c.shortestObjective) {
			c.shortestObjective = objective
		}
	}
	return c
}

// newOthers returns a competition that has only the jobs of other owners. The mutex must be
// held.
func (s *scheduler) newOthers() *competition {
	now := time.Now()
	return &competition{
		scheduler: s, now: now, configuration: s.config.Directory.View().Configuration, services: map[string][]string{},
		others: slices.DeleteFunc(s.openJobs.Current(now), func(other statistics.OpenJob) bool { return !s.runsElsewhere(other.Job) }),
	}
}

// termsOf returns the values that the items of a job share.
func (c *competition) termsOf(of *job) *jobTerms {
	if known := c.terms[of]; known != nil {
		return known
	}
	terms := &jobTerms{
		rate: c.scheduler.eventRates.Of(of.submission.Model), interval: c.paces.MedianInterval(),
		view: placement.Item{
			Priority: priorityOf(c.configuration, of.record), JobStarted: of.startedAt,
			Deadline: of.deadline, TimeLeft: of.deadline.Sub(c.now), Objective: of.completionObjective,
		},
	}
	if c.competes(of) {
		// Long items get fast replicas, so only those decide whether an item can be in time.
		terms.interval = c.paces.FastInterval()
		terms.view.Competes, terms.view.Tenant = true, of.record.Tenant
		terms.view.JobStarted = of.deadline.Add(-c.shortestObjective)
		terms.view.Lag = c.scheduler.lagOf(of, c.now)
		terms.view.Yields = !c.paces.CanBeInTime(of.stepView(terms))
	}
	c.terms[of] = terms
	return terms
}

// competes reports whether a job competes with others for slots that decide whether it is in
// time: its completion objective is critical, and another open job uses the same replicas.
func (c *competition) competes(of *job) bool {
	if !c.scheduler.isCritical(of, c.paces) {
		return false
	}
	for other := range c.own {
		if other != of && c.sharesService(of, c.servicesOf(other.record.Route)) {
			return true
		}
	}
	return slices.ContainsFunc(c.others, func(other statistics.OpenJob) bool { return c.sharesModel(of, other.Model) })
}

// servicesOf returns the services that may run the items of a route.
func (c *competition) servicesOf(route string) []string {
	services, known := c.services[route]
	if known || c.configuration == nil {
		return services
	}
	if declared := routeOf(c.configuration, route); declared != nil {
		for _, target := range declared.Targets {
			services = append(services, target.Service)
		}
	}
	c.services[route] = services
	return services
}

// sharesService reports whether one of the services may run the items of a job.
func (c *competition) sharesService(of *job, services []string) bool {
	return slices.ContainsFunc(c.servicesOf(of.record.Route), func(service string) bool { return slices.Contains(services, service) })
}

// sharesModel reports whether a service that may run the items of a job runs a model.
func (c *competition) sharesModel(of *job, model string) bool {
	return model == of.submission.Model || c.runsModel(c.servicesOf(of.record.Route), model)
}

// runsModel reports whether one of the services runs a model.
func (c *competition) runsModel(services []string, model string) bool {
	return slices.ContainsFunc(services, func(service string) bool {
		engine := c.configuration.Services[service].Engine
		return engine != nil && slices.Contains(engine.Models, model)
	})
}

// viewOf returns the view of an item for placement decisions.
func (c *competition) viewOf(of *item) placement.Item {
	terms := c.termsOf(of.job)
	view := terms.view
	view.Rank, view.Reserve, view.HasProgress = of.rank.Position, of.rank.Reserve, len(of.progress.events) > 0
	view.ExpectedRunTime = time.Duration(of.remainingEvents(terms.rate)) * terms.interval
	view.Waited = c.now.Sub(of.queuedAt)
	return view
}

// stepView returns the view of a job as a whole. The mutex must be held.
func (j *job) stepView(terms *jobTerms) placement.Step {
	step := placement.Step{TimeLeft: terms.view.TimeLeft, Desired: j.desiredGroups()}
	longest := make(map[*group]int, len(j.groups))
	for _, unfinished := range j.items {
		if !unfinished.done {
			longest[unfinished.group] = max(longest[unfinished.group], unfinished.remainingEvents(terms.rate))
		}
	}
	for unfinished, events := range longest {
		step.Unfinished = append(step.Unfinished, placement.StepGroup{RemainingEvents: events, Inherited: unfinished.inherited})
	}
	step.Complete = len(j.groups) - len(longest)
	return step
}

// shares returns the slots for which tenants compete, and their use. It is the zero value if
// no tenants are declared.
func (c *competition) shares() placement.Shares {
	if c.configuration == nil || c.configuration.Tenants.Len() == 0 {
		return placement.Shares{}
	}
	shares := placement.Shares{Used: map[string]int{}}
	services := map[string]bool{}
	for competing, terms := range c.terms {
		if terms.view.Competes {
			for _, service := range c.servicesOf(competing.record.Route) {
				services[service] = true
			}
		}
	}
	view := c.scheduler.config.Directory.View()
	for service := range services {
		if plan := view.Plans[service]; plan != nil {
			for _, endpoint := range plan.Endpoints() {
				shares.Slots += endpoint.Slots
			}
		}
	}
	for running := range c.scheduler.runs {
		shares.Used[running.item.job.record.Tenant]++
	}
	for _, other := range c.others {
		shares.Used[other.Tenant] += max(0, int(other.Open)-int(other.Waiting))
	}
	return shares
}

// competitorOf returns the view of another owner's job. Its route is not announced, so that
// the priority of the first route that runs its model applies if its tenant has none.
func (c *competition) competitorOf(other statistics.OpenJob) placement.Competitor {
	priority := 0
	if c.configuration != nil {
		for i := range c.configuration.Routes {
			route := &c.configuration.Routes[i]
			if route.Kind == directory.RouteBatch && c.runsModel(c.servicesOf(route.Name), other.Model) {
				priority = route.Priority
				break
			}
		}
		priority = c.configuration.Tenants.PriorityOf(other.Tenant, priority)
	}
	return placement.Competitor{
		Priority: priority, TimeLeft: other.TimeLeft, Lag: time.Duration(other.LagMs) * time.Millisecond, Waiting: int(other.Waiting),
	}
}

// lagOf returns how far the trainer of a job is behind its period. The mutex must be held.
func (s *scheduler) lagOf(of *job, now time.Time) time.Duration {
	if of.deadline.IsZero() {
		return 0
	}
	return s.trainers.Lag(of.submission.Model, now.Add(of.completionObjective))
}
