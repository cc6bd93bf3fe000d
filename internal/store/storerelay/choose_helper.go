package storerelay

import (
	"context"
	"slices"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/replicas/homes"
	"github.com/pathtally/pathtally/internal/wire"
)

// helpersFor returns the addresses of the nodes through which a call may be made, in
// the order in which they are tried; none unless the store is known to answer one. A
// node whose region may not have the body that the call carries is left out: the call
// is then made on this node's own way alone, and fails as it does there.
func (r *Relay) helpersFor(ctx context.Context, call *wire.StoreCall) []string {
	followed, known := r.config.Through()
	if !known {
		return nil
	}
	addresses := []string{followed}
	if len(call.Content) >= largeCall && r.config.Others != nil {
		addresses = append(r.config.Others(), followed)
	}
	bounds := homes.BoundsOf(ctx)
	inside := addresses
	if bounds.Homes().Bound() {
		inside = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return !bounds.AllowsNode(r.config.Region(address)) })
		if len(inside) == 0 && r.isTroubled() {
			r.relayed.WithLabelValues("outside homes").Inc()
		}
	}
	fit := slices.DeleteFunc(slices.Clone(inside), r.helpers.isAvoided)
	if len(fit) == 0 && len(inside) > 0 {
		fit = inside[len(inside)-1:]
	}
	return fit[:min(len(fit), helpersTried)]
}

// carries tells whether a node may be given a large call: the one that is followed, one
// that the store has answered of late, or one that is answered a question now. Asking
// first costs a fifth of a second where a node is silent; the call would cost its whole
// time.
func (r *Relay) carries(ctx context.Context, address string, call *wire.StoreCall) bool {
	if followed, _ := r.config.Through(); len(call.Content) < largeCall || address == followed || r.helpers.isAnswered(address) {
		return true
	}
	question := &wire.StoreCall{Verb: uint8(wire.StoreGet), Kind: call.Kind, Name: call.Name, MayBeStale: true}
	message, err := environment.Ask(ctx, r.config.Peers, address, question, questionTime)
	reply, isReply := message.(*wire.StoreReply)
	if err != nil || !isReply {
		return false
	}
	switch wire.StoreOutcome(reply.Outcome) {
	case wire.StoreDone, wire.StoreNotFound:
		r.helpers.note(address)
		return true
	}
	return false
}
