package autoscale

import "github.com/pathtally/pathtally/internal/replicas/directory"

// View is what is known of a service when its replicas are decided on.
type View struct {
	Service string
	Scaling directory.Scaling
	// Slots is how many requests one replica serves at once.
	Slots int
	// Present counts the replicas of each zone that serve or warm up.
	Present map[string]int
	// Closed are the zones whose replicas get no work, since they are evacuated, and
	// Full those that had no further replica to give a moment ago.
	Closed map[string]bool
	Full   map[string]bool
	// Running is how many items run, and Open how many run or wait, at the peak of late.
	Running int
	Open    int
}
