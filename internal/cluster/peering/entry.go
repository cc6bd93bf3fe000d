package peering

import (
	"encoding/json"
	"fmt"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// entry is a node's entry in the metadata store.
type entry struct {
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	Capacity    uint32 `json:"capacity,omitempty"`
}

// EntryError reports a node's entry that can't be encoded or decoded.
type EntryError struct {
	Node  string
	Cause error
}

// Error implements error.
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
