package directory

// Engine is the model engine behind a service's replicas.
type Engine struct {
	// Slots is how many requests one replica runs at a time.
	Slots int
	// TokenCapacity is the memory for cached and running tokens.
	TokenCapacity int
	Models        []string
}
