package directory

import "time"

// Service is a group of replicas that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one replica accepts in total.
	MaxConnections int
	// Engine is nil for services that are not model engines.
	Engine *Engine
	// WarmUp is how long a replica warms up after its start.
	WarmUp time.Duration
	// WarmUpRate is the number of requests per second that a replica can serve while it
	// warms up, 0 for no limit.
	WarmUpRate float64
	// Scaling is nil for services without autoscaling.
	Scaling *Scaling
}
