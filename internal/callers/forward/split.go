package forward

import (
	"sync"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// targetSplitter shares the requests of routes among their targets by smooth weighted
// round robin. It is safe for use by many goroutines.
type targetSplitter struct {
	mutex sync.Mutex
	// credits are kept by route and service.
	credits map[string]map[string]int
}

// next returns the index of the target that a request tries first.
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

// creditsOf returns the credits of a route's targets. The mutex must be held.
func (s *targetSplitter) creditsOf(route string) map[string]int {
	if s.credits == nil {
		s.credits = map[string]map[string]int{}
	}
	if s.credits[route] == nil {
		s.credits[route] = map[string]int{}
	}
	return s.credits[route]
}
