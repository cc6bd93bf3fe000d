package autoscale

import "github.com/pathtally/pathtally/internal/replicas/directory"

// View is the state of a service that Decide works on.
type View struct {
	Service string
	Scaling directory.Scaling
	// Slots is the number of concurrent requests of one replica.
	Slots int
	// Present is the number of replicas that serve or warm up, by zone.
	Present map[string]int
	// Evacuated are the zones whose replicas get no work, and Full the zones that had no
	// more replicas available at their last order.
	Evacuated map[string]bool
	Full      map[string]bool
	// Running is the recent peak of running items, and Open the recent peak of open items,
	// which run or wait.
	Running int
	Open    int
}
