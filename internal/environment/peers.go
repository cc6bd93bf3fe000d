package environment

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

// ErrPeerUnreachable reports that no reply came in time. The peer may have acted on the
// message.
var ErrPeerUnreachable = merry.Sentinel("peer unreachable")

// Peers sends messages to other nodes by peer address.
type Peers interface {
	// Send sends a message that is delivered at most once, without a report.
	Send(address string, message wire.Message)
	// Broadcast sends the same message to several peers, encoding it once.
	Broadcast(addresses []string, message wire.Message)
	// Call sends a request. Done is called exactly once, with the reply, with a
	// *wire.RemoteError, or with ErrPeerUnreachable after the timeout at the latest.
	Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error))
}
