package instance

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pathtally/pathtally/internal/settings"
)

const (
	// defaultGrace holds where the settings (grace) name none. Those that were loaded
	// from a file or flags always name one.
	defaultGrace = 8 * time.Second
	// defaultDrain is how long a replica may get requests after it has said that it
	// leaves, where the settings (drain) name no time.
	defaultDrain = 2 * time.Second
	// keepMissingShare is the part of that, between 0 and 1, for which a replica is kept
	// whose entry vanished: the rest is for the way of the change and of requests already
	// sent. Keeping it for longer sends requests to replicas that have left.
	keepMissingShare = 0.65
	// defaultCatchUp holds where the settings (catchUp) name no time.
	defaultCatchUp = 5 * time.Second
)

// liveSettings are the settings of a running node. Some of them may change.
type liveSettings struct {
	current atomic.Pointer[settings.Settings]
}

func newLiveSettings(configured settings.Settings) *liveSettings {
	live := &liveSettings{}
	live.current.Store(&configured)
	return live
}

// grace is how long a planned stop may take.
func (l *liveSettings) grace() time.Duration {
	return durationOr(l.current.Load().Grace.Std(), defaultGrace)
}

// catchUp is how long a starting node may take until it is up to date.
func (l *liveSettings) catchUp() time.Duration {
	return durationOr(l.current.Load().CatchUp.Std(), defaultCatchUp)
}

// keyBound is how old the configuration may be by whose keys callers are identified; 0
// for no bound.
func (l *liveSettings) keyBound() time.Duration { return l.current.Load().KeyBound.Std() }

// keepMissing is how long a replica whose entry vanished around an outage of
// the store is kept.
func (l *liveSettings) keepMissing() time.Duration {
	drain := durationOr(l.current.Load().Drain.Std(), defaultDrain)
	return time.Duration(keepMissingShare * float64(drain))
}

// reload takes changed settings, one caller at a time, apart from those that need a new start, and returns the
// settings in force and whether others have changed.
func (l *liveSettings) reload(changed settings.Settings) (inForce settings.Settings, needsRestart bool) {
	current := l.current.Load()
	fixed := changed
	takeChangeable(&fixed, current)
	next := *current
	takeChangeable(&next, &changed)
	l.current.Store(&next)
	return next, !sameFixed(fixed, *current)
}

// takeChangeable copies the settings that come into force without a new start.
func takeChangeable(into, from *settings.Settings) {
	into.Grace, into.DutyLease, into.Drain, into.CatchUp, into.KeyBound, into.Seeds =
		from.Grace, from.DutyLease, from.Drain, from.CatchUp, from.KeyBound, from.Seeds
}

// sameFixed reports whether the settings that need a new start are the same.
func sameFixed(a, b settings.Settings) bool {
	return a.Node == b.Node && a.Zone == b.Zone && a.Region == b.Region && a.Peer == b.Peer && a.PeerAdvertised == b.PeerAdvertised && a.HTTP == b.HTTP &&
		a.Readiness == b.Readiness && a.Metrics == b.Metrics && a.ObjectStore == b.ObjectStore && a.Idle == b.Idle &&
		a.DutyAPI == b.DutyAPI && slices.Equal(a.Duties, b.Duties) && a.UsageWindow == b.UsageWindow && a.UsageLate == b.UsageLate &&
		maps.Equal(a.Regions, b.Regions) && a.EvacuationBound == b.EvacuationBound && a.ReplicaPolicy == b.ReplicaPolicy &&
		a.WarmUpOverage == b.WarmUpOverage && a.WarmUpSlack == b.WarmUpSlack && a.Quarantine == b.Quarantine
}

// durationOr returns a time of the settings, or its default where none is named.
func durationOr(configured, standard time.Duration) time.Duration {
	if configured <= 0 {
		return standard
	}
	return configured
}
