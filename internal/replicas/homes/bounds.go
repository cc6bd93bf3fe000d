package homes

// Bounds say where the body of one request may be: on replicas in its homes, and on
// nodes there or in its entry region. They are immutable; the zero Bounds allow
// everything.
type Bounds struct {
	homes Set
	// entry is the region of the node that the caller connected to, "" for unknown.
	entry string
}

// Within returns the bounds of a body with some homes and an entry region, "" for unknown.
func Within(homes Set, entry string) Bounds { return Bounds{homes: homes, entry: entry} }

// Homes returns the regions whose replicas may get the body.
func (b Bounds) Homes() Set { return b.homes }

// AllowsReplica reports whether a replica in a region may get the body.
func (b Bounds) AllowsReplica(region string) bool { return b.homes.Allows(region) }

// AllowsNode reports whether a node in a region may have the body. The node that the
// caller connected to has it in any case.
func (b Bounds) AllowsNode(region string) bool {
	return b.homes.Allows(region) || (region != "" && region == b.entry)
}
