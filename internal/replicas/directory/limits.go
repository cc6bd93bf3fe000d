package directory

import "time"

// Limits are the limits on requests of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to read the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}
