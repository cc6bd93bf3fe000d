package test

import "time"

// soakZones are where replicas stand, in turns; all nodes stand in the first.
var soakZones = []string{"zone-a", "zone-b"}

const (
	// evacuationBound is the nodes' setting: when after the word that a zone is
	// evacuated nothing may reach it any more.
	evacuationBound = 3 * time.Second
	// evacuatedTime is for how long the zone is watched from then on.
	evacuationWatch = time.Second
)

// evacuate has a zone evacuated while nothing else is disturbed, and checks that
// nothing is sent there from the bound until the evacuation is taken back.
func (w *soakRun) evacuate() {
	zone := soakZones[1]
	w.store.Write("evacuations", zone, struct{}{})
	bound := time.Now().Add(evacuationBound)
	time.Sleep(evacuationBound + evacuationWatch)
	end := time.Now()
	w.store.Remove("evacuations", zone)
	w.mutex.Lock()
	replicas := append([]*soakReplica(nil), w.replicas...)
	w.mutex.Unlock()
	for _, candidate := range replicas {
		if candidate.zone == zone {
			w.record.checkEvacuated(candidate.id, bound, end, candidate.server.Runs())
		}
	}
}
