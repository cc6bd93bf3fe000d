package v1

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind says what happened to an object between two sets.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeUpdated ChangeKind = "updated"
)

// Change is one object that differs between two sets.
type Change struct {
	Key    Key
	Kind   ChangeKind
	Before []byte
	After  []byte
}

// String gives the change on one line.
func (c Change) String() string {
	if c.Kind == ChangeUpdated {
		return fmt.Sprintf("%s %s: %s -> %s", c.Kind, c.Key, c.Before, c.After)
	}
	return fmt.Sprintf("%s %s", c.Kind, c.Key)
}

// Diff lists what changed from one set to another, ordered by key.
func Diff(before, after *Set) []Change {
	var changes []Change
	for key, object := range after.objects {
		old, stood := before.objects[key]
		if !stood {
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

// mustJSON encodes a declared object; these hold only texts, numbers and
// string maps, so encoding cannot fail.
func mustJSON(object Object) []byte {
	data, err := json.Marshal(object)
	if err != nil {
		panic(err)
	}
	return data
}
