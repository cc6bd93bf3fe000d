package batch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// rewardTime bounds one call of a scorer where its route names no time.
	maxRewardTimeout = 2 * time.Second
	// rewardPause is the time before a scorer that did not answer is called
	// again, and longestRewardPause bounds it as it grows.
	rewardPause        = 60 * time.Millisecond
	longestRewardPause = 500 * time.Millisecond
)

// scorer calls the routes that score texts. It shares the service's mutex.
type scorer struct {
	config   *Config
	mutex    *sync.Mutex
	replicas *replicastate.Table
	// bounds are those on the calls in progress, by route.
	bounds map[string]*admission.Adaptive
}

func newScorer(service *Service) *scorer {
	return &scorer{config: &service.config, mutex: &service.mutex, replicas: service.replicas, bounds: map[string]*admission.Adaptive{}}
}

// callReward calls an item's scorer until it answers, has failed as often as
// its route allows, or the job ends.
func (s *scorer) callReward(work *item, attempts func() int) (score string, failed, scored bool) {
	reward := work.Reward
	failures := 0
	pause := rewardPause
	for work.job.ctx.Err() == nil {
		route := s.rewardRoute(reward)
		if route != nil {
			call := &dispatch.Call{
				ID: reward.ID, Method: http.MethodPost, Target: reward.Target, Host: reward.Host, Header: reward.Header, Body: reward.Body,
				Tenant: work.job.record.Tenant, Purpose: exchange.PurposeScorer,
			}
			whole, err := s.callScorer(work.job.ctx, route, call)
			if err == nil {
				failures += whole.Failures
				if whole.Response.Status >= http.StatusOK && whole.Response.Status < http.StatusMultipleChoices {
					return s.config.Codec.Signature(whole.Response.Header), false, true
				}
				if failures >= attempts() {
					return "", true, false
				}
			}
		}
		if !objectstore.SleepWithJitter(work.job.ctx, pause) {
			break
		}
		pause = min(2*pause, longestRewardPause)
	}
	return "", false, false
}

// callScorer makes one call of a scorer once the bound of its route has room.
func (s *scorer) callScorer(ctx context.Context, route *directory.Route, call *dispatch.Call) (*forward.BufferedResponse, error) {
	bound := s.rewardBound(route)
	if err := bound.Enter(ctx); err != nil {
		return nil, err
	}
	call.Deadline = time.Now().Add(rewardLimit(route))
	whole, err := s.config.Forwarder.Do(ctx, route, call)
	var refused *forward.RefusedError
	isCrowded := errors.As(err, &refused) && refused.Reason != forward.ReasonQuarantined
	bound.Leave(isCrowded || (err == nil && whole.Rejections > 0))
	return whole, err
}

// callsPerSlot is how many calls may be in progress for each slot of the
// scorers: a group's items end close together, and a short queue at the
// replicas is worked off while the next ones run.
const callsPerSlot = 2

// rewardBound is the bound on the calls of a route's scorers in progress. All
// nodes that run jobs share the replicas' slots, and most of the replicas'
// queues is left to live requests.
func (s *scorer) rewardBound(route *directory.Route) *admission.Adaptive {
	view := s.config.Directory.View()
	slots := 0
	for _, target := range route.Targets {
		if plan := view.Plans[target.Service]; plan != nil {
			for _, endpoint := range plan.Endpoints() {
				slots += endpoint.Slots
			}
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	most := callsPerSlot * slots / s.replicas.RunningNodes(time.Now())
	bound := s.bounds[route.Name]
	if bound == nil {
		bound = admission.NewAdaptive(most)
		s.bounds[route.Name] = bound
	}
	bound.SetMost(most)
	return bound
}

// rewardRoute is the route of a scorer.
func (s *scorer) rewardRoute(reward *Reward) *directory.Route {
	configuration := s.config.Directory.View().Configuration
	if configuration == nil {
		return nil
	}
	return configuration.Lookup(reward.Host, targetPath(reward.Target))
}

func rewardLimit(route *directory.Route) time.Duration {
	if route.Timeout > 0 {
		return min(route.Timeout, maxRewardTimeout)
	}
	return maxRewardTimeout
}

// rewardAttempts is how many failures of a scorer end an item.
func (s *scorer) rewardAttempts(work *item) int {
	if work.Reward == nil {
		return defaultAttempts
	}
	if route := s.rewardRoute(work.Reward); route != nil {
		return route.Attempts
	}
	return defaultAttempts
}

// targetPath is a request target without its query.
func targetPath(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}
