package v1

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeUpdated ChangeKind = "updated"
)

// Change is one object that differs between two sets. Before and After are its JSON.
type Change struct {
	Key    Key
	Kind   ChangeKind
	Before []byte
	After  []byte
}

// String formats the change on one line.
func (c Change) String() string {
	if c.Kind == ChangeUpdated {
		return fmt.Sprintf("%s %s: %s -> %s", c.Kind, c.Key, c.Before, c.After)
	}
	return fmt.Sprintf("%s %s", c.Kind, c.Key)
}

// Diff returns the changes from one set to another, ordered by key.
func Diff(before, after *Set) []Change {
	var changes []Change
	for key, object := range after.objects {
		old, exists := before.objects[key]
		if !exists {
			changes = append(changes, Change{Key: key, Kind: ChangeAdded, After: mustJSON(object)})
			continue
		}
		oldData, newData := mustJSON(old), mustJSON(object)
		if !bytes.Equal(oldData, newData) {
			changes = append(changes, Change{Key: key, Kind: ChangeUpdated, Before: oldData, After: newData})
		}
	}
	for key, object := range before.objects {
		if after.objects[key] == nil {
			changes = append(changes, Change{Key: key, Kind: ChangeRemoved, Before: mustJSON(object)})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Key.String(), b.Key.String()) })
	return changes
}

// mustJSON encodes an object. It panics if that fails, which is impossible because objects
// contain only strings, numbers, booleans and string maps.
func mustJSON(object Object) []byte {
	data, err := json.Marshal(object)
	if err != nil {
		panic(err)
	}
	return data
}
