package directory

import "time"

// Service is a group of replicas that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is what one replica accepts from all callers together.
	MaxConnections int
	// Engine is nil for services that are no model engines.
	Engine *Engine
	// WarmUp is how long a replica serves slowly after it has started, and
	// WarmUpRate how many requests a second it can take meanwhile; 0 for no bound.
	WarmUp     time.Duration
	WarmUpRate float64
	// Scaling is nil where replicas cannot be ordered.
	Scaling *Scaling
}
