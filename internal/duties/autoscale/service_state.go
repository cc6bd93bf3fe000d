package autoscale

import "github.com/pathtally/pathtally/internal/replicas/directory"

// ServiceState is the state of a service that Decide works on.
type ServiceState struct {
	Service string
	Scaling directory.Scaling
	// Slots is the number of concurrent requests of one replica.
	Slots int
	// Present is the number of replicas that serve or warm up, by zone.
	Present map[string]int
	// Evacuated are the zones whose replicas get no work, and Exhausted the zones that had no
	// more replicas available at their last order.
	Evacuated map[string]bool
	Exhausted map[string]bool
	// RunningItems is the recent peak of running items, and OpenItems the recent peak of
	// open items, which run or wait.
	RunningItems int
	OpenItems    int
}
