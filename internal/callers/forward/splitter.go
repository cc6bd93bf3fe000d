package forward

import (
	"sync"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// splitter shares the requests of routes among their targets by weight, each
// as evenly over time as the weights allow. It is safe for use by many
// goroutines.
type splitter struct {
	mutex   sync.Mutex
	credits map[string]map[string]int
}

// next returns the index of the target whose turn it is.
func (s *splitter) next(route *directory.Route) int {
	if len(route.Targets) == 1 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.credits == nil {
		s.credits = map[string]map[string]int{}
	}
	credits := s.credits[route.Name]
	if credits == nil {
		credits = map[string]int{}
		s.credits[route.Name] = credits
	}
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
