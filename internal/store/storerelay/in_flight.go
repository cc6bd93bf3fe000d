package storerelay

import (
	"context"
	"hash/fnv"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// callKey identifies identical calls.
type callKey struct {
	verb          uint8
	kind          string
	name          string
	revision      uint64
	contentLength int
	contentHash   uint64
}

func keyOf(call *wire.StoreCall) callKey {
	hash := fnv.New64a()
	hash.Write(call.Content)
	return callKey{
		verb: call.Verb, kind: call.Kind, name: call.Name, revision: call.Revision,
		contentLength: len(call.Content), contentHash: hash.Sum64(),
	}
}

// inFlightCall is a large call in flight through a helper. Its result is set before done is
// closed.
type inFlightCall struct {
	done  chan struct{}
	reply *wire.StoreReply
	err   error
}

// inFlightCalls deduplicates large calls through helpers. A call that is identical to one
// in flight waits for its result, since sending it twice would delay both. It is safe for
// concurrent use.
type inFlightCalls struct {
	mutex sync.Mutex
	calls map[callKey]*inFlightCall
}

// do sends a call, or waits for an identical large call in flight, and returns the result.
// It returns an *objectstore.UnansweredError if the context ends while it waits.
func (c *inFlightCalls) do(ctx context.Context, call *wire.StoreCall, send func() (*wire.StoreReply, error)) (*wire.StoreReply, error) {
	if !isLarge(call) {
		return send()
	}
	key := keyOf(call)
	inFlight, first := c.begin(key)
	if first {
		defer c.end(key, inFlight)
		inFlight.reply, inFlight.err = send()
		return inFlight.reply, inFlight.err
	}
	select {
	case <-inFlight.done:
		return inFlight.reply, inFlight.err
	case <-ctx.Done():
		return nil, &objectstore.UnansweredError{Cause: merry.Wrap(ctx.Err())}
	}
}

// begin returns the call in flight with the given key. First reports whether it is a new
// one that the caller has to send.
func (c *inFlightCalls) begin(key callKey) (inFlight *inFlightCall, first bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if existing := c.calls[key]; existing != nil {
		return existing, false
	}
	if c.calls == nil {
		c.calls = map[callKey]*inFlightCall{}
	}
	inFlight = &inFlightCall{done: make(chan struct{})}
	c.calls[key] = inFlight
	return inFlight, true
}

// end removes a call and wakes those that wait for its result.
func (c *inFlightCalls) end(key callKey, ended *inFlightCall) {
	c.mutex.Lock()
	delete(c.calls, key)
	c.mutex.Unlock()
	close(ended.done)
}
