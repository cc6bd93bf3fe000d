package environment

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

// ErrPeerUnreachable reports that no reply arrived before the timeout. The peer may have
// processed the message.
var ErrPeerUnreachable = merry.Sentinel("peer unreachable")

// Peers sends messages to other nodes by peer address.
type Peers interface {
	// Send sends a message that is delivered at most once, without confirmation.
	Send(address string, message wire.Message)
	// Broadcast sends the same message to several peers, encoding it once.
	Broadcast(addresses []string, message wire.Message)
	// Call sends a request. It calls done exactly once: with the reply, with a
	// *wire.RemoteError, or, at the latest after the timeout, with ErrPeerUnreachable.
	Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error))
}
