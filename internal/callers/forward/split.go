package forward

import (
	"sync"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// targetSplitter distributes the requests of each route among its targets by smooth
// weighted round robin. It is safe for concurrent use.
type targetSplitter struct {
	mutex sync.Mutex
	// credits holds the current weight of each target, by route and service.
	credits map[string]map[string]int
}

// next returns the index of the target that the next request tries first.
func (s *targetSplitter) next(route *directory.Route) int {
	if len(route.Targets) == 1 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credits := s.creditsOf(route.Name)
	best, total := -1, 0
	for i, target := range route.Targets {
		if target.Weight <= 0 {
			continue
		}
		total += target.Weight
		credits[target.Service] += target.Weight
		if best < 0 || credits[target.Service] > credits[route.Targets[best].Service] {
			best = i
		}
	}
	if best < 0 {
		return 0
	}
	credits[route.Targets[best].Service] -= total
	return best
}

// creditsOf returns the current weights of a route's targets by service. The caller must
// hold the mutex.
func (s *targetSplitter) creditsOf(route string) map[string]int {
	if s.credits == nil {
		s.credits = map[string]map[string]int{}
	}
	if s.credits[route] == nil {
		s.credits[route] = map[string]int{}
	}
	return s.credits[route]
}
