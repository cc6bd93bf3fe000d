package forward

import (
	"sync"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// targetSplitter distributes the requests of each route among its targets by smooth
// weighted round robin. It is safe for concurrent use.
type targetSplitter struct {
	mutex sync.Mutex
	// currentWeights holds the state of the algorithm for each target, by route and
	// service.
	currentWeights map[string]map[string]int
}

// next returns the index of the target that the next request tries first.
func (s *targetSplitter) next(route *directory.Route) int {
	if len(route.Targets) == 1 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	weights := s.currentWeightsOf(route.Name)
	best, total := -1, 0
	for i, target := range route.Targets {
		if target.Weight <= 0 {
			continue
		}
		total += target.Weight
		weights[target.Service] += target.Weight
		if best < 0 || weights[target.Service] > weights[route.Targets[best].Service] {
			best = i
		}
	}
	if best < 0 {
		return 0
	}
	weights[route.Targets[best].Service] -= total
	return best
}

// currentWeightsOf returns the current weights of a route's targets by service. The caller must
// hold the mutex.
func (s *targetSplitter) currentWeightsOf(route string) map[string]int {
	if s.currentWeights == nil {
		s.currentWeights = map[string]map[string]int{}
	}
	if s.currentWeights[route] == nil {
		s.currentWeights[route] = map[string]int{}
	}
	return s.currentWeights[route]
}
