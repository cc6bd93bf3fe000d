package instance

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/settings"
)

// Reload takes changed settings. Times and seeds come into force; a change of
// name, place or addresses needs a new start and is told in the log.
func (i *Instance) Reload(changed settings.Settings) {
	i.reloadMutex.Lock()
	defer i.reloadMutex.Unlock()
	standing := i.current.Load()
	fixed := changed
	takeChangeable(&fixed, standing)
	needsRestart := !sameFixed(fixed, *standing)
	next := *standing
	takeChangeable(&next, &changed)
	i.current.Store(&next)
	i.logger.Info("settings reloaded", "grace", next.Grace.Std().String(), "dutyLease", next.DutyLease.Std().String(),
		"drain", next.Drain.Std().String(), "keyBound", next.KeyBound.Std().String(), "seeds", len(next.Seeds), "needsRestart", needsRestart)
	if next.Idle {
		return
	}
	i.lease.SetTerm(next.DutyLease.Std())
	i.peers.SetSeeds(next.Seeds)
}

// takeChangeable copies the settings that come into force without a new start.
func takeChangeable(into, from *settings.Settings) {
	into.Grace, into.DutyLease, into.Drain, into.CatchUp, into.KeyBound, into.Seeds =
		from.Grace, from.DutyLease, from.Drain, from.CatchUp, from.KeyBound, from.Seeds
}

// sameFixed tells whether the settings that need a new start are the same.
func sameFixed(a, b settings.Settings) bool {
	return a.Node == b.Node && a.Zone == b.Zone && a.Region == b.Region && a.Peer == b.Peer && a.PeerAdvertised == b.PeerAdvertised && a.HTTP == b.HTTP &&
		a.Readiness == b.Readiness && a.Metrics == b.Metrics && a.ObjectStore == b.ObjectStore && a.Idle == b.Idle &&
		a.DutyAPI == b.DutyAPI && slices.Equal(a.Duties, b.Duties) && a.UsageWindow == b.UsageWindow && a.UsageLate == b.UsageLate &&
		maps.Equal(a.Regions, b.Regions) && a.EvacuationBound == b.EvacuationBound && a.ReplicaPolicy == b.ReplicaPolicy &&
		a.WarmUpOverage == b.WarmUpOverage && a.WarmUpSlack == b.WarmUpSlack && a.Quarantine == b.Quarantine
}
