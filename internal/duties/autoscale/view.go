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
	// Evacuated are the zones whose replicas get no work, and Full those that had no
	// further replica to give a moment ago.
	Evacuated map[string]bool
	Full      map[string]bool
	// Running is how many items ran, and Open how many ran or waited, at the recent
	// peaks.
	Running int
	Open    int
}
