package peering

import (
	"encoding/json"
	"fmt"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// entry is what the metadata store holds of a node.
type entry struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	Capacity    uint32 `json:"capacity,omitempty"`
}

// EntryError is a node's entry that cannot be read or written.
type EntryError struct {
	Node  string
	Cause error
}

// Error names the node and the cause.
func (e *EntryError) Error() string { return fmt.Sprintf("entry of node %s: %v", e.Node, e.Cause) }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Cause }

func decodeEntry(object objectstore.Object) (entry, error) {
	var decoded entry
	if err := json.Unmarshal(object.Spec, &decoded); err != nil {
		return entry{}, &EntryError{Node: object.Name, Cause: err}
	}
	return decoded, nil
}

// Replace takes a listing of the nodes' entries. Nodes that it lacks stay known:
// entries outlast the processes, and a listing may be one page of several.
func (t *Table) Replace(objects []objectstore.Object, _ bool) {
	for _, object := range objects {
		t.addEntry(object)
	}
}

// Apply takes changes of the nodes' entries. A node whose entry was removed is
// forgotten.
func (t *Table) Apply(changes []objectstore.Change, _ bool) {
	for _, change := range changes {
		if change.Gone {
			t.forget(change.Object.Name)
			continue
		}
		t.addEntry(change.Object)
	}
}

func (t *Table) addEntry(object objectstore.Object) {
	decoded, err := decodeEntry(object)
	if err != nil {
		t.config.Logger.Error(err, "node entry is not readable", "peer", object.Name)
		return
	}
	t.add(Peer{Node: object.Name, Address: decoded.Address, Zone: decoded.Zone, Incarnation: decoded.Incarnation, Capacity: decoded.Capacity})
}

func (t *Table) forget(node string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.peers[node] != nil {
		delete(t.peers, node)
		t.membership++
	}
}
