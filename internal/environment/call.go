package environment

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Call sends a request to a peer and waits for its reply. It returns the error of Peers.Call, or
// the context's error if the context ends first.
func Call(ctx context.Context, peers Peers, address string, request wire.Message, timeout time.Duration) (wire.Message, error) {
	type reply struct {
		message wire.Message
		err     error
	}
	replies := make(chan reply, 1)
	peers.Call(address, request, timeout, func(message wire.Message, err error) { replies <- reply{message, err} })
	select {
	case got := <-replies:
		return got.message, got.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
