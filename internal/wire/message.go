package wire

import (
	"github.com/pathtally/pathtally/internal/wire/schema"
)

// Message is the payload of a Frame.
type Message interface {
	// attach encodes the message into the frame.
	attach(root schema.Frame) error
}

// Hello is the first message on a connection.
type Hello struct {
	Protocol    uint16
	Node        string
	Address     string
	Incarnation uint64
}

// Failure is the reply to a request that is refused or fails. Code is a FailureCode.
type Failure struct {
	Code   uint16
	Detail string
}

// Done is the reply to a request that succeeds without a result.
type Done struct{}
