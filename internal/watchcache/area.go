package watchcache

import "time"

// mostFollowers bounds the nodes that one reader answers. Each polls it up to two and
// a half times a second; at this bound that is a few hundredths of a core, which also
// a small node has beside its callers.
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
// other nodes. The zone is always one of them.
func (s *Source) areas(nodes []Node) []area {
	self := s.config.Self
	region := s.config.Regions[self.Zone]
	kept := []area{{kind: kindZone}, {kind: kindRegion}, {kind: kindDeployment}}
	for _, node := range nodes {
		if node.Name == self.Name {
			continue
		}
		kept[2].nodes = append(kept[2].nodes, node)
		if node.Zone == self.Zone {
			kept[0].nodes = append(kept[0].nodes, node)
		}
		if node.Zone == self.Zone || (region != "" && s.config.Regions[node.Zone] == region) {
			kept[1].nodes = append(kept[1].nodes, node)
		}
	}
	var widestFirst []area
	for number := len(kept) - 1; number > 0; number-- {
		if wide := kept[number]; len(wide.nodes) < mostFollowers && len(wide.nodes) > len(kept[number-1].nodes) {
			widestFirst = append(widestFirst, wide)
		}
	}
	return append(widestFirst, kept[0])
}

// standingArea is the widest area whose reader this node has not left. The mutex must
// be held.
func (s *Source) standingArea(nodes []Node) (standing area, narrowest bool) {
	areas := s.areas(nodes)
	for number, candidate := range areas {
		if number == len(areas)-1 || !time.Now().Before(s.leftAreas[candidate.kind]) {
			return candidate, number == len(areas)-1
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
