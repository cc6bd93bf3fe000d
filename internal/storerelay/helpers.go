package storerelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/homes"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// largeCall is from how many bytes of content on a call goes through another node
	// than the one that is followed. That one answers the polls of its followers and
	// carries their small calls; the results of a few batch jobs fill a small node's
	// link for seconds.
	largeCall = 64 << 10
	// avoidTime is for how long a node that did not carry a call is passed over: the
	// store turns nodes away for some seconds.
	avoidTime = 3 * time.Second
	// helpersTried bounds the nodes that one call is offered to: each that refuses it
	// says so within a few milliseconds.
	helpersTried = 3
	// answersTime is for how long a node that has just been answered is taken to be,
	// and questionTime bounds the question to one that is not known to be: it is the
	// way to it and to the store, several times over.
	answersTime  = 2 * time.Second
	questionTime = 200 * time.Millisecond
)

// helpers remembers which nodes carry calls and which did not. It is safe for use by
// many goroutines.
type helpers struct {
	mutex sync.Mutex
	// avoided and answered give until when a node is passed over, or taken to be
	// answered by the store.
	avoided  map[string]time.Time
	answered map[string]time.Time
}

// avoid passes a node over for a while.
func (h *helpers) avoid(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.avoided == nil {
		h.avoided = map[string]time.Time{}
	}
	h.avoided[address] = time.Now().Add(avoidTime)
	delete(h.answered, address)
}

// note records that the store has answered a node.
func (h *helpers) note(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.answered == nil {
		h.answered = map[string]time.Time{}
	}
	h.answered[address] = time.Now().Add(answersTime)
}

// isAnswered tells whether the store has answered a node of late.
func (h *helpers) isAnswered(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(h.answered[address])
}

// isAvoided tells whether a node is passed over.
func (h *helpers) isAvoided(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(h.avoided[address])
}

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
