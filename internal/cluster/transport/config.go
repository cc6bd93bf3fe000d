package transport

import "github.com/pathtally/pathtally/internal/wire"

// Handler handles a message from the peer that listens at an address. It is called through
// Config.Post. Reply sends a reply and may be called at most once, from any goroutine.
type Handler func(from string, message wire.Message, reply func(wire.Message))

// Config holds the settings and dependencies of a Transport.
type Config struct {
	// Hello is the first message on each connection that this node opens.
	Hello wire.Hello
	// Post schedules a message handler or the callback of a call for execution.
	Post func(func())
	// Handler handles each message of a peer.
	Handler Handler
	// MaxIncoming limits the connections of peers; 0 means no limit.
	MaxIncoming int
	// Traffic counts messages by kind; nil for none.
	Traffic *Traffic
}
