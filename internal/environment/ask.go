package environment

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Call sends a request to a peer and waits for its reply. It returns the error of Peers.Call, or
// the context's error if the context ends first.
func Call(ctx context.Context, peers Peers, address string, request wire.Message, timeout time.Duration) (wire.Message, error) {
	type answer struct {
		message wire.Message
		err     error
	}
	answers := make(chan answer, 1)
	peers.Call(address, request, timeout, func(message wire.Message, err error) { answers <- answer{message, err} })
	select {
	case got := <-answers:
		return got.message, got.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
