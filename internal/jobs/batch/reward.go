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
	// maxRewardTimeout bounds one call of a scorer, also where its route allows more.
	maxRewardTimeout = 2 * time.Second
	// rewardRetryDelay is the first delay before a scorer is called again, which doubles
	// up to maxRewardRetryDelay.
	rewardRetryDelay    = 60 * time.Millisecond
	maxRewardRetryDelay = 500 * time.Millisecond
)

// scorer calls the routes that score texts. It shares the service's mutex.
type scorer struct {
	config   *Config
	mutex    *sync.Mutex
	replicas *replicastate.Table
	// limiters limit the concurrent calls, by route.
	limiters map[string]*admission.Adaptive
}

func newScorer(service *Service) *scorer {
	return &scorer{config: &service.config, mutex: &service.mutex, replicas: service.replicas, limiters: map[string]*admission.Adaptive{}}
}

// callReward calls an item's scorer until it succeeds, has failed as often as its route
// allows (failed), or the job ends.
func (s *scorer) callReward(work *item, attempts func() int) (score string, failed, scored bool) {
	reward := work.Reward
	failures := 0
	pause := rewardRetryDelay
	for work.job.ctx.Err() == nil {
		route := s.rewardRoute(reward)
		if route != nil {
			call := &dispatch.Call{
				ID: reward.ID, Method: http.MethodPost, Target: reward.Target, Host: reward.Host, Header: reward.Header, Body: reward.Body,
				Tenant: work.job.record.Tenant, Purpose: exchange.PurposeScorer, Deferred: true,
			}
			response, err := s.callScorer(work.job.ctx, route, call)
			if err == nil {
				failures += response.Failures
				if response.Response.Status >= http.StatusOK && response.Response.Status < http.StatusMultipleChoices {
					return s.config.Codec.ScoreSignature(response.Response.Header), false, true
				}
				if failures >= attempts() {
					return "", true, false
				}
			}
		}
		if !objectstore.SleepWithJitter(work.job.ctx, pause) {
			break
		}
		pause = min(2*pause, maxRewardRetryDelay)
	}
	return "", false, false
}

// callScorer calls a scorer once the limit of its route allows another call.
func (s *scorer) callScorer(ctx context.Context, route *directory.Route, call *dispatch.Call) (*forward.BufferedResponse, error) {
	limiter := s.rewardLimiter(route)
	if err := limiter.Enter(ctx); err != nil {
		return nil, err
	}
	call.Deadline = time.Now().Add(rewardTimeout(route))
	response, err := s.config.Forwarder.Do(ctx, route, call)
	defer response.Release()
	var refused *forward.RefusedError
	isOverloaded := errors.As(err, &refused) && refused.Reason != forward.ReasonCrashBackoff
	limiter.Leave(isOverloaded || (err == nil && response.Rejections > 0))
	return response, err
}

// callsPerSlot is the number of concurrent calls for each slot of a scorer. It is above
// one because the items of a group end close together, so that a short queue at the
// replicas keeps them busy.
const callsPerSlot = 2

// rewardLimiter returns the limit on concurrent calls to a route's scorers. The nodes that
// run jobs share the replicas' slots, and most of the replicas' queues is left to live
// requests.
func (s *scorer) rewardLimiter(route *directory.Route) *admission.Adaptive {
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
	limit := callsPerSlot * slots / s.replicas.RunningNodes(time.Now())
	limiter := s.limiters[route.Name]
	if limiter == nil {
		limiter = admission.NewAdaptive(limit)
		s.limiters[route.Name] = limiter
	}
	limiter.SetMaximum(limit)
	return limiter
}

// rewardRoute returns the route of a reward call, nil if there is none.
func (s *scorer) rewardRoute(reward *Reward) *directory.Route {
	configuration := s.config.Directory.View().Configuration
	if configuration == nil {
		return nil
	}
	return configuration.Lookup(reward.Host, targetPath(reward.Target))
}

func rewardTimeout(route *directory.Route) time.Duration {
	if route.Timeout > 0 {
		return min(route.Timeout, maxRewardTimeout)
	}
	return maxRewardTimeout
}

// rewardAttempts returns the number of scorer failures after which an item is abandoned.
func (s *scorer) rewardAttempts(work *item) int {
	if work.Reward == nil {
		return defaultAttempts
	}
	if route := s.rewardRoute(work.Reward); route != nil {
		return route.Attempts
	}
	return defaultAttempts
}

// targetPath returns a request target without its query.
func targetPath(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}
