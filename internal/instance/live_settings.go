package instance

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pathtally/pathtally/internal/settings"
)

const (
	// defaultGrace is used if the settings name no grace. Settings loaded from a file or
	// flags always name one.
	defaultGrace = 8 * time.Second
	// defaultDrain is used if the settings name no drain: how long a replica may receive
	// requests after it has announced its shutdown.
	defaultDrain = 2 * time.Second
	// keepMissingFraction is the fraction of the drain time for which a replica is kept
	// after its entry has disappeared. The rest is for the propagation of the change and
	// for requests in transit: a replica kept for longer gets requests after its shutdown.
	keepMissingFraction = 0.65
	// defaultCatchUp is used if the settings name no catchUp.
	defaultCatchUp = 5 * time.Second
)

// liveSettings are the current settings of a running node.
type liveSettings struct {
	current atomic.Pointer[settings.Settings]
}

func newLiveSettings(configured settings.Settings) *liveSettings {
	live := &liveSettings{}
	live.current.Store(&configured)
	return live
}

// grace is the maximum duration of a planned stop.
func (l *liveSettings) grace() time.Duration {
	return durationOr(l.current.Load().Grace.Std(), defaultGrace)
}

// catchUp is the time within which a starting node should be up to date.
func (l *liveSettings) catchUp() time.Duration {
	return durationOr(l.current.Load().CatchUp.Std(), defaultCatchUp)
}

// keyBound is the maximum age of the configuration at which API keys are accepted, 0 for no
// bound.
func (l *liveSettings) keyBound() time.Duration { return l.current.Load().KeyBound.Std() }

// keepMissing is how long a replica is kept if its entry disappears around an outage of the
// store.
func (l *liveSettings) keepMissing() time.Duration {
	drain := durationOr(l.current.Load().Drain.Std(), defaultDrain)
	return time.Duration(keepMissingFraction * float64(drain))
}

// reload applies the settings that can change without a restart. It returns the settings in
// force, and whether changes of others require a restart. Callers serialize calls.
func (l *liveSettings) reload(changed settings.Settings) (inForce settings.Settings, needsRestart bool) {
	current := l.current.Load()
	fixed := changed
	copyReloadable(&fixed, current)
	next := *current
	copyReloadable(&next, &changed)
	l.current.Store(&next)
	return next, !sameFixedSettings(fixed, *current)
}

// copyReloadable copies the settings that can change without a restart.
func copyReloadable(into, from *settings.Settings) {
	into.Grace, into.DutyLease, into.Drain, into.CatchUp, into.KeyBound, into.Seeds =
		from.Grace, from.DutyLease, from.Drain, from.CatchUp, from.KeyBound, from.Seeds
}

// sameFixedSettings reports whether the settings that require a restart are equal.
func sameFixedSettings(a, b settings.Settings) bool {
	return a.Node == b.Node && a.Zone == b.Zone && a.Region == b.Region && a.Peer == b.Peer && a.PeerAdvertised == b.PeerAdvertised && a.HTTP == b.HTTP &&
		a.Readiness == b.Readiness && a.Metrics == b.Metrics && a.ObjectStore == b.ObjectStore && a.Idle == b.Idle &&
		a.DutyAPI == b.DutyAPI && slices.Equal(a.Duties, b.Duties) && a.UsageWindow == b.UsageWindow && a.UsageLate == b.UsageLate &&
		maps.Equal(a.Regions, b.Regions) && a.EvacuationBound == b.EvacuationBound && a.ReplicaPolicy == b.ReplicaPolicy &&
		a.WarmUpOverage == b.WarmUpOverage && a.WarmUpSlack == b.WarmUpSlack && a.Quarantine == b.Quarantine
}

// durationOr returns a duration of the settings, or a default if it is not set.
func durationOr(configured, fallback time.Duration) time.Duration {
	if configured <= 0 {
		return fallback
	}
	return configured
}
