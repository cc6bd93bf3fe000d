package directory

import "time"

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time until a request's headers are read, and IdleTimeout
	// the time between two requests of a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
