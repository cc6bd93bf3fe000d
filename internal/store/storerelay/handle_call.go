package storerelay

import (
	"context"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

// HandleCall makes a call for another node and returns the reply. It only uses this node's
// direct connection, so that a call is relayed at most once.
func (r *Relay) HandleCall(ctx context.Context, call *wire.StoreCall) *wire.StoreReply {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	direct := r.config.Direct
	freshness := objectstore.Freshness(call.MayBeStale)
	var object objectstore.Object
	var err error
	switch wire.StoreVerb(call.Verb) {
	case wire.StoreList:
		page, err := direct.List(ctx, call.Kind, call.Name, freshness)
		reply := replyTo(err)
		reply.More, reply.At = page.More, page.Revision
		reply.Objects = objectwire.EncodeAll(page.Objects)
		return reply
	case wire.StoreGet:
		object, err = direct.Get(ctx, call.Kind, call.Name, freshness)
	case wire.StoreCreate:
		object, err = direct.Create(ctx, call.Kind, call.Name, call.Content)
	case wire.StoreReplace:
		object, err = direct.Replace(ctx, call.Kind, call.Name, call.Content, call.Revision)
	case wire.StoreReplaceStatus:
		object, err = direct.ReplaceStatus(ctx, call.Kind, call.Name, call.Content, call.Revision)
	case wire.StoreDelete:
		return replyTo(direct.Delete(ctx, call.Kind, call.Name, call.Revision))
	default:
		return &wire.StoreReply{Outcome: uint8(wire.StoreRefused)}
	}
	reply := replyTo(err)
	if err == nil {
		reply.Objects = []wire.ObjectChange{objectwire.Encode(object)}
	}
	return reply
}
