package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/residency"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// poolKey identifies the items that may run at the same replicas.
type poolKey struct {
	route      string
	model      string
	minVersion int64
	tenant     string
}

// pool is a snapshot of the replicas for a series of placement decisions. Values that
// many items share are computed once. The mutex must be held while it is used.
type pool struct {
	scheduler *scheduler
	// itemsRunning is set if the items are running already: they do not count as demand at
	// replicas in slow start.
	itemsRunning bool
	view         *directory.View
	now          time.Time
	paces        placement.Paces
	// loads are the numbers of items that run at each replica, from all nodes.
	loads map[string]int
	// expectedEvents are the numbers of events that the texts of these items are expected to
	// have.
	expectedEvents map[string]int
	replicas       map[poolKey][]*placement.Replica
	// critical caches isCritical by job.
	critical map[*job]bool
	// byName has the single view of each replica, which all keys share as they share its
	// slots.
	byName    map[string]*placement.Replica
	endpoints map[string]*routing.Endpoint
}

// newPool returns a pool of the replicas now in the directory. The mutex must be held.
func (s *scheduler) newPool() *pool {
	return &pool{
		scheduler: s, view: s.config.Directory.View(), now: time.Now(), paces: s.replicas.Paces(), loads: s.replicas.Loads(time.Now()),
		expectedEvents: s.replicas.ExpectedEvents(time.Now()),
		replicas:       map[poolKey][]*placement.Replica{}, critical: map[*job]bool{}, byName: map[string]*placement.Replica{}, endpoints: map[string]*routing.Endpoint{},
	}
}

// pick returns the replica for an item, nil if none has a free slot.
func (p *pool) pick(waiting *item) *placement.Replica {
	preference := placement.Preference{FailedReplicas: waiting.failedReplicas, Urgent: waiting.urgent, Fastest: waiting.moveReason == placement.ReasonLate}
	if p.isCritical(waiting.job) {
		return placement.PickByCompletion(p.paces, p.replicasFor(waiting), p.workOf(waiting), preference)
	}
	return placement.Pick(p.replicasFor(waiting), preference)
}

// isFullFor reports whether no item of a job can be placed, given one that can't. An item that
// has failed at the replicas with free slots doesn't show this. Only the items of jobs that
// depend on the speed of replicas are tried in this case, since no slot stays free for these.
func (p *pool) isFullFor(unplaced *item) bool {
	return len(unplaced.failedReplicas) == 0 || !p.isCritical(unplaced.job)
}

// isCritical reports whether a job depends on the speed of the replicas that run its items.
func (p *pool) isCritical(job *job) bool {
	critical, known := p.critical[job]
	if !known {
		critical = p.scheduler.isCritical(job, p.paces)
		p.critical[job] = critical
	}
	return critical
}

// workOf returns the remaining work of an item.
func (p *pool) workOf(work *item) placement.Work { return p.scheduler.workOf(work, p.now) }

// isCritical reports whether a job depends on the speed of the replicas that run its items. The
// mutex must be held.
func (s *scheduler) isCritical(job *job, paces placement.Paces) bool {
	return !job.deadline.IsZero() && paces.CompletionCritical(s.longTextOf(job), job.completionObjective)
}

// longTextStep is the number of further complete texts after which the expected length of a job's
// long texts is estimated again. The first texts to complete are shorter than expected.
const longTextStep = 20

// longTextOf returns the number of events of the longest texts of a job's model, as far as they
// are known, 0 for unknown. The mutex must be held.
func (s *scheduler) longTextOf(job *job) int {
	rate := s.eventRates.Of(job.submission.Model)
	if limit := rate.LengthLimit(); limit > 0 {
		return limit
	}
	if rate.Texts() >= job.longTextBasis+longTextStep {
		job.longTextBasis = rate.Texts()
		expected := make([]int, 0, len(job.submission.Items))
		for _, submitted := range job.submission.Items {
			expected = append(expected, rate.ExpectUnbounded(submitted.ExpectedTokens))
		}
		job.longText = placement.LongText(expected)
	}
	return max(job.longText, rate.Longest())
}

// workOf returns the remaining work of an item. The mutex must be held.
func (s *scheduler) workOf(work *item, now time.Time) placement.Work {
	limit := s.eventRates.Of(work.job.submission.Model).LengthLimit()
	return placement.NewWork(s.expectedEventsOf(work), work.knownEvents(), limit, work.job.deadline.Sub(now))
}

// replicasFor returns the replicas at which an item may run, including those without a
// free slot. Replicas that are blocked, are loading weights or have old ones are left
// out.
func (p *pool) replicasFor(waiting *item) []*placement.Replica {
	key := poolKey{route: waiting.job.record.Route, model: waiting.job.submission.Model, minVersion: waiting.job.submission.MinVersion, tenant: waiting.job.record.Tenant}
	replicas, known := p.replicas[key]
	if known || p.view.Configuration == nil {
		return replicas
	}
	if route := routeOf(p.view.Configuration, key.route); route != nil {
		query := &routing.Query{Rollout: true, Waiting: !p.itemsRunning, AllowedRegions: residency.Of(route.AllowedRegions, p.view.Configuration.Tenants.AllowedRegions(key.tenant))}
		for _, target := range route.Targets {
			if plan := p.view.Plans[target.Service]; plan != nil {
				replicas = p.add(replicas, p.scheduler.candidatesOf(target.Service, plan, waiting.job), key, query)
			}
		}
	}
	p.replicas[key] = replicas
	return replicas
}

// add appends the endpoints at which the items with a key may run.
func (p *pool) add(replicas []*placement.Replica, endpoints []*routing.Endpoint, key poolKey, query *routing.Query) []*placement.Replica {
	for _, endpoint := range endpoints {
		state := p.scheduler.replicas.GetOrCreate(endpoint.Name)
		known := p.scheduler.replicas.Version(p.view.Replicas[endpoint.Name], endpoint.Name, key.model)
		if p.now.Before(state.BlockedUntil) || state.IsLoading(key.model) || (known > 0 && known < key.minVersion) {
			continue
		}
		// This comes last, since a slow-start gate counts the query as demand.
		if !routing.ItemChain.Allow(query, endpoint) {
			continue
		}
		replicas = append(replicas, p.replicaOf(endpoint, state))
	}
	return replicas
}

// replicaOf returns the view of a replica, and creates it on first use.
func (p *pool) replicaOf(endpoint *routing.Endpoint, state *replicastate.State) *placement.Replica {
	if shared := p.byName[endpoint.Name]; shared != nil {
		return shared
	}
	health := placement.ReplicaHealth{Failing: state.Failures.IsFailing(p.now), Unresponsive: state.Unresponsive, SinceEvent: p.now.Sub(state.ObservedAt)}
	view := placement.NewReplica(endpoint.Name, endpoint.Slots, p.loads[endpoint.Name], p.paces, health)
	view.ExpectedEvents = p.expectedEvents[endpoint.Name]
	if left := endpoint.State.SlowStart.PermitsLeft(); left < view.MaxLoad {
		view.MaxLoad = min(view.MaxLoad, view.Load+left)
	}
	p.byName[endpoint.Name], p.endpoints[endpoint.Name] = view, endpoint
	return view
}
