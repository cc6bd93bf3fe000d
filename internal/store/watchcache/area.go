package watchcache

import "time"

// maxFollowers is the most nodes that one reader serves, which leaves a small node time for
// its callers. In a zone with more nodes, the followers form a tree.
const maxFollowers = 128

// areaKind is the extent of an area.
type areaKind string

const (
	deploymentArea areaKind = "deployment"
	regionArea     areaKind = "region"
	zoneArea       areaKind = "zone"
)

// area is a part of the deployment whose nodes follow the same reader.
type area struct {
	kind areaKind
	// nodes lists the nodes of the area without this one.
	nodes []Node
}

// areasOf returns the areas that a node can belong to, widest first. It skips an area that
// one reader can't serve or that has no more nodes than the next narrower one. The zone is
// always the last. Regions maps each zone to its region.
func areasOf(self Node, regions map[string]string, nodes []Node) []area {
	zone, region, deployment := areasAround(self, regions, nodes)
	narrowestFirst := []area{zone, region, deployment}
	var widestFirst []area
	for i := len(narrowestFirst) - 1; i > 0; i-- {
		wide, narrower := narrowestFirst[i], narrowestFirst[i-1]
		if len(wide.nodes) < maxFollowers && len(wide.nodes) > len(narrower.nodes) {
			widestFirst = append(widestFirst, wide)
		}
	}
	return append(widestFirst, zone)
}

// areasAround returns the zone, the region and the deployment of a node.
func areasAround(self Node, regions map[string]string, nodes []Node) (zone, region, deployment area) {
	ownRegion := regions[self.Zone]
	zone, region, deployment = area{kind: zoneArea}, area{kind: regionArea}, area{kind: deploymentArea}
	for _, node := range nodes {
		if node.Name == self.Name {
			continue
		}
		sameZone := node.Zone == self.Zone
		deployment.nodes = append(deployment.nodes, node)
		if sameZone {
			zone.nodes = append(zone.nodes, node)
		}
		if sameZone || (ownRegion != "" && regions[node.Zone] == ownRegion) {
			region.nodes = append(region.nodes, node)
		}
	}
	return zone, region, deployment
}

// followedArea returns the widest area whose reader is not excluded, or the zone if all
// are. Narrowest reports whether it is the zone.
func (s *Source) followedArea(nodes []Node) (followed area, narrowest bool) {
	areas := areasOf(s.config.Self, s.config.Regions, nodes)
	last := len(areas) - 1
	for _, candidate := range areas[:last] {
		if !s.exclusions.isAreaExcluded(candidate.kind) {
			return candidate, false
		}
	}
	return areas[last], true
}

// hasNarrowerArea reports whether this node could follow the reader of a narrower area.
func (s *Source) hasNarrowerArea() bool {
	_, narrowest := s.followedArea(s.config.Nodes())
	return !narrowest
}

// leaveArea makes this node follow the reader of the next narrower area, if there is one,
// for the given time. A reader that this node can't reach may be unreachable from the whole
// region.
func (s *Source) leaveArea(duration time.Duration) {
	if left, narrowest := s.followedArea(s.config.Nodes()); !narrowest {
		s.exclusions.excludeArea(left.kind, duration)
	}
}
