package storerelay

import (
	"context"
	"hash/fnv"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// callKey names a call; two calls with the same key ask for the same.
type callKey struct {
	verb     uint8
	kind     string
	name     string
	revision uint64
	length   int
	sum      uint64
}

func keyOf(call *wire.StoreCall) callKey {
	sum := fnv.New64a()
	sum.Write(call.Content)
	return callKey{verb: call.Verb, kind: call.Kind, name: call.Name, revision: call.Revision, length: len(call.Content), sum: sum.Sum64()}
}

// relayedCall is a large call on its way through another node.
type relayedCall struct {
	done  chan struct{}
	reply *wire.StoreReply
	err   error
}

// relayedCalls are the large calls on their way through other nodes. Whoever makes the
// same call once more meanwhile waits for the first: sending it twice makes both late.
type relayedCalls struct {
	mutex sync.Mutex
	open  map[callKey]*relayedCall
}

// once makes a call unless the same is on its way, and returns what became of it.
func (c *relayedCalls) once(ctx context.Context, call *wire.StoreCall, send func() (*wire.StoreReply, error)) (*wire.StoreReply, error) {
	if len(call.Content) < largeCall {
		return send()
	}
	key := keyOf(call)
	standing, first := c.begin(key)
	if first {
		defer c.end(key, standing)
		standing.reply, standing.err = send()
		return standing.reply, standing.err
	}
	select {
	case <-standing.done:
		return standing.reply, standing.err
	case <-ctx.Done():
		return nil, &objectstore.UnansweredError{Cause: merry.Wrap(ctx.Err())}
	}
}

// begin returns the call with a key, and whether it is to be sent now.
func (c *relayedCalls) begin(key callKey) (standing *relayedCall, first bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if standing = c.open[key]; standing != nil {
		return standing, false
	}
	if c.open == nil {
		c.open = map[callKey]*relayedCall{}
	}
	standing = &relayedCall{done: make(chan struct{})}
	c.open[key] = standing
	return standing, true
}

// end forgets a call and wakes those that wait for it.
func (c *relayedCalls) end(key callKey, ended *relayedCall) {
	c.mutex.Lock()
	delete(c.open, key)
	c.mutex.Unlock()
	close(ended.done)
}
