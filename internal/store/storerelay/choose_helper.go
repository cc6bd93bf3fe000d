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
	// than the peer with store access, whose link is busy with its followers.
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
// candidate is in a region that may hold the request body in the call; the call is then
// left to the direct connection.
func (r *Relay) helpersFor(ctx context.Context, call *wire.StoreCall) []string {
	accessPeer, known := r.config.PeerWithStoreAccess()
	if !known {
		return nil
	}
	candidates := []string{accessPeer}
	if isLarge(call) && r.config.LargeCallHelpers != nil {
		candidates = append(r.config.LargeCallHelpers(), accessPeer)
	}
	allowed := r.inAllowedRegions(ctx, candidates)
	if len(allowed) == 0 && r.directAccess.hasFailedRecently() {
		r.relayed.WithLabelValues("outside homes").Inc()
	}
	return chooseHelpers(allowed, r.helpers.isExcluded)
}

// inAllowedRegions returns the candidates in regions that may hold the request body in the
// context's call.
func (r *Relay) inAllowedRegions(ctx context.Context, candidates []string) []string {
	bounds := residency.BoundsOf(ctx)
	if !bounds.Regions().IsRestricted() {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(address string) bool {
		return !bounds.AllowsNode(r.config.Region(address))
	})
}

// chooseHelpers returns the first candidates that are not excluded, at most maxHelpers. If
// all are excluded, it returns the last one, the peer with store access.
func chooseHelpers(candidates []string, isExcluded func(address string) bool) []string {
	chosen := slices.DeleteFunc(slices.Clone(candidates), isExcluded)
	if len(chosen) == 0 && len(candidates) > 0 {
		chosen = candidates[len(candidates)-1:]
	}
	return chosen[:min(len(chosen), maxHelpers)]
}

// maySend reports whether a call may be sent to a helper. A small call may be sent to any
// helper. A large one may be sent to the peer with store access, or to a helper to which
// the store is available according to its recent record or a probe.
func (r *Relay) maySend(ctx context.Context, address string, call *wire.StoreCall) bool {
	accessPeer, _ := r.config.PeerWithStoreAccess()
	if !isLarge(call) || address == accessPeer || r.helpers.isAvailable(address) {
		return true
	}
	probe := &wire.StoreCall{Verb: uint8(wire.StoreGet), Kind: call.Kind, Name: call.Name, MayBeStale: true}
	message, err := environment.Call(ctx, r.config.Peers, address, probe, helperProbeTimeout)
	reply, isReply := message.(*wire.StoreReply)
	if err != nil || !isReply {
		return false
	}
	switch wire.StoreOutcome(reply.Outcome) {
	case wire.StoreDone, wire.StoreNotFound:
		r.helpers.recordAvailable(address)
		return true
	}
	return false
}
