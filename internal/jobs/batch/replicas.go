package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

// NoteVersion takes what a coordinator of weights knows of a replica.
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

// Uses returns how many items this node runs at each replica.
func (s *Service) Uses() []wire.ReplicaUse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replicas.Announced(time.Now())
}

// Load is how many items run at a replica, from all nodes.
func (s *Service) Load(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replicas.Load(id, time.Now())
}

// routeOf returns a route by its name, nil for none.
func routeOf(configuration *directory.Configuration, name string) *directory.Route {
	for i := range configuration.Routes {
		if configuration.Routes[i].Name == name {
			return &configuration.Routes[i]
		}
	}
	return nil
}
