package peering

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// NodeKind is the object kind of node entries in the metadata store.
const NodeKind = "nodes"

// register writes this node's entry and reports whether there was none. It replaces the
// entry of an earlier process, so that the peers learn of the new one.
func (t *Table) register(ctx context.Context) (isNew bool, err error) {
	spec, err := json.Marshal(entry{
		Address:     t.config.Address,
		Zone:        t.config.Zone,
		Incarnation: t.config.Incarnation,
		Capacity:    t.config.Capacity,
	})
	if err != nil {
		return false, &EntryError{Node: t.config.Node, Cause: err}
	}
	_, err = t.config.Store.Create(ctx, NodeKind, t.config.Node, spec)
	var conflict *objectstore.ConflictError
	if !errors.As(err, &conflict) {
		return err == nil, err
	}
	existing, err := decodeEntry(conflict.Current)
	if err != nil {
		t.config.Logger.Error(err, "failed to decode this node's entry, replacing it")
	} else if existing.Address == t.config.Address && existing.Incarnation == t.config.Incarnation {
		return false, nil
	}
	_, err = t.config.Store.Replace(ctx, NodeKind, t.config.Node, spec, objectstore.Unconditional)
	return false, err
}

// readEntries reads the entries of all nodes.
func (t *Table) readEntries(ctx context.Context) error {
	return objectstore.ListPages(ctx, t.config.Store, NodeKind, objectstore.Linearizable, func(page objectstore.Page) {
		t.Replace(page.Objects, false)
	})
}
