package instance

import "time"

const (
	// defaultDrain is for how long a replica may get requests after it has said
	// that it leaves, where the settings (drain) name no time.
	defaultDrain = 2 * time.Second
	// missingShare is the part of that, between 0 and 1, for which a vanished
	// replica is kept: the rest is for the way of the news and of requests already
	// sent. Keeping one for longer than the time sends requests to replicas that
	// have left (docs/INVARIANTS.md).
	missingShare = 0.65
)

// keepMissing is how long a replica whose entry vanished around an outage of
// the store is kept.
func (i *Instance) keepMissing() time.Duration {
	drain := spanOr(i.current.Load().Drain.Std(), defaultDrain)
	return time.Duration(missingShare * float64(drain))
}
