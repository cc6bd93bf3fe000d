package test

import "time"

// soakZones are the zones of replicas, assigned in turn; all nodes are in the first.
var soakZones = []string{"zone-a", "zone-b"}

const (
	// evacuationBound is the nodes' setting of that name: the time after the start of a
	// zone's evacuation from which no request may reach the zone.
	evacuationBound = 3 * time.Second
	// evacuationWatch is how long the zone is watched from then on.
	evacuationWatch = time.Second
)

// evacuate evacuates a zone while there is no other fault, and checks that no request
// reaches it from the bound until the evacuation ends.
func (s *soakRun) evacuate() {
	zone := soakZones[1]
	s.store.Write("evacuations", zone, struct{}{})
	bound := time.Now().Add(evacuationBound)
	time.Sleep(evacuationBound + evacuationWatch)
	end := time.Now()
	s.store.Remove("evacuations", zone)
	s.mutex.Lock()
	replicas := append([]*soakReplica(nil), s.replicas...)
	s.mutex.Unlock()
	for _, candidate := range replicas {
		if candidate.zone == zone {
			s.record.checkEvacuated(candidate.id, bound, end, candidate.server.Runs())
		}
	}
}
