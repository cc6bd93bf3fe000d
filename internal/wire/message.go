package wire

import (
	"github.com/pathtally/pathtally/internal/wire/schema"
)

// Message is any payload of a Frame.
type Message interface {
	// attach writes the message into a frame.
	attach(root schema.Frame) error
}

// Hello opens a connection.
type Hello struct {
	Protocol    uint16
	Node        string
	Address     string
	Incarnation uint64
}

// Failure is the typed refusal of a request.
type Failure struct {
	Code   uint16
	Detail string
}

// Done is an empty success.
type Done struct{}
