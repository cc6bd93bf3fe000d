package watchcache

// Node is a node of the deployment that can be followed.
type Node struct {
	Name    string
	Address string
	Zone    string
	// Capacity is the node's CPU capacity in millicores, 0 for unknown.
	Capacity uint32
}
