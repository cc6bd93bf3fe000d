package instance

import "time"

const (
	// defaultDrain holds where the settings name no time.
	defaultDrain = 2 * time.Second
	// missingShare is the part of it for which a vanished replica is kept: the
	// rest is for the way of the news and of requests already sent.
	missingShare = 0.65
)

// keepMissing is how long a replica whose entry vanished around an outage of
// the store is kept.
func (i *Instance) keepMissing() time.Duration {
	drain := spanOr(i.current.Load().Drain.Std(), defaultDrain)
	return time.Duration(missingShare * float64(drain))
}
