package watchcache

import "time"

// mostFollowers bounds the nodes that one reader answers. Each polls it up to two and
// a half times a second; at this bound that is a few hundredths of a core, which also
// a small node has beside its callers. In a zone with more nodes they follow one another
// (tree.go).
const mostFollowers = 128

// area is a part of the deployment whose nodes follow one reader.
type area struct {
	// kind is "deployment", "region" or "zone".
	kind  string
	nodes []Node
}

// The kinds of areas, widest first.
const (
	kindDeployment = "deployment"
	kindRegion     = "region"
	kindZone       = "zone"
)

// areas are those of this node that one reader can answer, widest first, among some
// other nodes. The zone is always one of them; a wider one is left out where it adds no
// node to the next narrower.
func (s *Source) areas(nodes []Node) []area {
	self := s.config.Self
	region := s.config.Regions[self.Zone]
	zone, inRegion, all := area{kind: kindZone}, area{kind: kindRegion}, area{kind: kindDeployment}
	for _, node := range nodes {
		if node.Name == self.Name {
			continue
		}
		all.nodes = append(all.nodes, node)
		if node.Zone == self.Zone {
			zone.nodes = append(zone.nodes, node)
		}
		if node.Zone == self.Zone || (region != "" && s.config.Regions[node.Zone] == region) {
			inRegion.nodes = append(inRegion.nodes, node)
		}
	}
	narrowestFirst := []area{zone, inRegion, all}
	var widestFirst []area
	for i := len(narrowestFirst) - 1; i > 0; i-- {
		if wide := narrowestFirst[i]; len(wide.nodes) < mostFollowers && len(wide.nodes) > len(narrowestFirst[i-1].nodes) {
			widestFirst = append(widestFirst, wide)
		}
	}
	return append(widestFirst, zone)
}

// standingArea is the widest area whose reader this node has not left, or the narrowest
// where it has left all of them. The mutex must be held.
func (s *Source) standingArea(nodes []Node) (standing area, narrowest bool) {
	areas := s.areas(nodes)
	for i, candidate := range areas {
		last := i == len(areas)-1
		if last || !time.Now().Before(s.leftAreas[candidate.kind]) {
			return candidate, last
		}
	}
	return area{}, true
}

// narrow has this node follow the reader of the next narrower area for a time, and
// tells whether there is one. What keeps a reader from answering may keep all of a
// wide area's nodes from it: regions may lose each other.
func (s *Source) narrow(span time.Duration) bool {
	nodes := s.config.Nodes()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left, narrowest := s.standingArea(nodes)
	if narrowest {
		return false
	}
	s.leftAreas[left.kind] = time.Now().Add(span)
	return true
}
