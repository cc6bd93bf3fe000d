package environment

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

// ErrPeerUnreachable means that no answer came in time. The peer may or may
// not have acted on the message.
var ErrPeerUnreachable = merry.Sentinel("peer unreachable")

// Peers sends messages to other nodes by peer address.
type Peers interface {
	// Send delivers at most once and tells nothing of it.
	Send(address string, message wire.Message)
	// Broadcast sends the same message to several peers, encoding it once.
	Broadcast(addresses []string, message wire.Message)
	// Call sends a request; done is called exactly once, with the reply,
	// with a *wire.RemoteError, or with ErrPeerUnreachable.
	Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error))
}
