package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

// LearnVersion records the weight version that the weights coordinator announces for a
// replica, or that the replica is loading weights.
func (s *Service) LearnVersion(change wire.ReplicaVersion) {
	s.mutex.Lock()
	state := s.replicas.GetOrCreate(change.Replica)
	if change.Loading {
		state.LearnLoad(change.Model, time.Now())
	} else {
		state.LearnVersion(change.Model, change.Version)
	}
	s.mutex.Unlock()
	s.WakeScheduler()
}

// SlotUse returns the number of items that this node runs at each replica.
func (s *Service) SlotUse() []wire.ReplicaUse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replicas.Announced(time.Now())
}

// RunningItems returns the number of items that run at a replica, from all nodes.
func (s *Service) RunningItems(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replicas.Load(id, time.Now())
}

// routeOf returns the route with a name, nil if there is none.
func routeOf(configuration *directory.Configuration, name string) *directory.Route {
	for i := range configuration.Routes {
		if configuration.Routes[i].Name == name {
			return &configuration.Routes[i]
		}
	}
	return nil
}
