package residency

// Bounds holds where the body of a request may be: on replicas in its allowed regions, and on
// nodes in these or in its entry region. It is immutable. The zero Bounds allows every region.
type Bounds struct {
	regions Set
	// entryRegion is the region of the node that the caller connected to, "" if unknown.
	entryRegion string
}

// NewBounds returns the bounds of a body with the given allowed regions and entry region. The
// entry region is "" if unknown.
func NewBounds(regions Set, entryRegion string) Bounds {
	return Bounds{regions: regions, entryRegion: entryRegion}
}

// Regions returns the regions in which replicas may receive the body.
func (b Bounds) Regions() Set { return b.regions }

// AllowsReplica reports whether a replica in the region may receive the body.
func (b Bounds) AllowsReplica(region string) bool { return b.regions.Allows(region) }

// AllowsNode reports whether a node in the region may hold the body. Nodes in the entry region
// may, because the caller has sent the body there.
func (b Bounds) AllowsNode(region string) bool {
	return b.regions.Allows(region) || (region != "" && region == b.entryRegion)
}
