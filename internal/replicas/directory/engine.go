package directory

// Engine is the model engine behind a service's replicas.
type Engine struct {
	// Slots is the number of requests that one replica can run concurrently.
	Slots int
	// TokenCapacity is the number of cached and running tokens that fit into the memory.
	TokenCapacity int
	Models        []string
}
