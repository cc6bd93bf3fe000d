package storerelay

import (
	"context"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/replicas/residency"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// largeCallSize is the content size in bytes at which a call goes through other helpers
	// than the current peer, whose link is busy with its followers.
	largeCallSize = 64 << 10
	// maxHelpers is the most helpers that are tried for one call.
	maxHelpers = 3
	// helperProbeTimeout bounds the probe of a helper before a large call. Without the
	// probe, a helper that doesn't reply would cost the call its whole timeout.
	helperProbeTimeout = 200 * time.Millisecond
)

// isLarge reports whether the content of a call reaches largeCallSize.
func isLarge(call *wire.StoreCall) bool { return len(call.Content) >= largeCallSize }

// helpersFor returns the addresses of the helpers for a call in the order in which they are
// tried. It returns none if no peer is known to which the store is available, or if no
// candidate is in a region that may hold the body in the call; the call is then left to the
// direct connection.
func (r *Relay) helpersFor(ctx context.Context, call *wire.StoreCall) []string {
	current, known := r.config.PeerWithStoreAccess()
	if !known {
		return nil
	}
	candidates := []string{current}
	if isLarge(call) && r.config.LargeCallHelpers != nil {
		candidates = append(r.config.LargeCallHelpers(), current)
	}
	allowed := r.withinHomes(ctx, candidates)
	if len(allowed) == 0 && r.ownAccess.hasFailedRecently() {
		r.relayed.WithLabelValues("outside homes").Inc()
	}
	return chooseHelpers(allowed, r.helpers.isExcluded)
}

// withinHomes returns the candidates that may hold the body in the context's call.
func (r *Relay) withinHomes(ctx context.Context, candidates []string) []string {
	bounds := residency.BoundsOf(ctx)
	if !bounds.Regions().IsRestricted() {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(address string) bool {
		return !bounds.AllowsNode(r.config.Region(address))
	})
}

// chooseHelpers returns the first candidates that are not excluded, at most maxHelpers. If
// all are excluded, it returns the last one, the current peer.
func chooseHelpers(candidates []string, isExcluded func(address string) bool) []string {
	chosen := slices.DeleteFunc(slices.Clone(candidates), isExcluded)
	if len(chosen) == 0 && len(candidates) > 0 {
		chosen = candidates[len(candidates)-1:]
	}
	return chosen[:min(len(chosen), maxHelpers)]
}

// mayGive reports whether a call may be sent to a helper. A small call may be sent to any
// helper. A large one may be sent to the current peer, or to a helper to which the store is
// available according to its recent record or a probe.
func (r *Relay) mayGive(ctx context.Context, address string, call *wire.StoreCall) bool {
	current, _ := r.config.PeerWithStoreAccess()
	if !isLarge(call) || address == current || r.helpers.isAnswering(address) {
		return true
	}
	probe := &wire.StoreCall{Verb: uint8(wire.StoreGet), Kind: call.Kind, Name: call.Name, MayBeStale: true}
	message, err := environment.Ask(ctx, r.config.Peers, address, probe, helperProbeTimeout)
	reply, isReply := message.(*wire.StoreReply)
	if err != nil || !isReply {
		return false
	}
	switch wire.StoreOutcome(reply.Outcome) {
	case wire.StoreDone, wire.StoreNotFound:
		r.helpers.recordAnswering(address)
		return true
	}
	return false
}
