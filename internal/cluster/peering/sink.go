package peering

import "github.com/pathtally/pathtally/internal/store/objectstore"

// Replace adds the nodes of a listing. Nodes that it lacks stay known: a listing may be one
// page of several.
func (t *Table) Replace(objects []objectstore.Object, _ bool) {
	for _, object := range objects {
		t.addEntry(object)
	}
}

// Apply applies changes of the nodes' entries. A node whose entry was removed is forgotten.
func (t *Table) Apply(changes []objectstore.Change, _ bool) {
	for _, change := range changes {
		if change.Gone {
			t.forget(change.Object.Name)
			continue
		}
		t.addEntry(change.Object)
	}
}

// addEntry adds the node of an entry.
func (t *Table) addEntry(object objectstore.Object) {
	decoded, err := decodeEntry(object)
	if err != nil {
		t.config.Logger.Error(err, "node entry is not readable", "peer", object.Name)
		return
	}
	t.add(Peer{Node: object.Name, Address: decoded.Address, Zone: decoded.Zone, Incarnation: decoded.Incarnation, Capacity: decoded.Capacity})
}

// forget removes a node.
func (t *Table) forget(node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.peers[node] != nil {
		delete(t.peers, node)
		t.membership++
	}
}
