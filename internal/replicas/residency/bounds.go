package residency

// Bounds holds where the body of a request may be: on replicas in its allowed regions, and on
// nodes in these or in its entry region. It is immutable. The zero Bounds allows every region.
type Bounds struct {
	homes Set
	// entry is the region of the node that the caller connected to, "" if unknown.
	entry string
}

// NewBounds returns the bounds of a body with the given allowed regions and entry region. The
// entry region is "" if unknown.
func NewBounds(homes Set, entry string) Bounds { return Bounds{homes: homes, entry: entry} }

// Regions returns the regions in which replicas may receive the body.
func (b Bounds) Regions() Set { return b.homes }

// AllowsReplica reports whether a replica in the region may receive the body.
func (b Bounds) AllowsReplica(region string) bool { return b.homes.Allows(region) }

// AllowsNode reports whether a node in the region may hold the body. Nodes in the entry region
// may, because the caller has sent the body there.
func (b Bounds) AllowsNode(region string) bool {
	return b.homes.Allows(region) || (region != "" && region == b.entry)
}
