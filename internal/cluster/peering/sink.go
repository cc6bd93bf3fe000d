package peering

import "github.com/pathtally/pathtally/internal/store/objectstore"

// Replace adds the nodes of a listing. It keeps nodes that are not in the listing, which
// may be one of several pages.
func (t *Table) Replace(objects []objectstore.Object, _ bool) {
	for _, object := range objects {
		t.addEntry(object)
	}
}

// Apply applies changes of the nodes' entries. It removes a node whose entry was deleted.
func (t *Table) Apply(changes []objectstore.Change, _ bool) {
	for _, change := range changes {
		if change.Deleted {
			t.remove(change.Object.Name)
			continue
		}
		t.addEntry(change.Object)
	}
}

// addEntry adds the node of an entry.
func (t *Table) addEntry(object objectstore.Object) {
	decoded, err := decodeEntry(object)
	if err != nil {
		t.config.Logger.Error(err, "failed to decode a node entry", "peer", object.Name)
		return
	}
	t.add(Peer{Node: object.Name, Address: decoded.Address, Zone: decoded.Zone, Incarnation: decoded.Incarnation, Capacity: decoded.Capacity})
}

// remove removes a node.
func (t *Table) remove(node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.peers[node] != nil {
		delete(t.peers, node)
		t.membershipVersion++
	}
}
