package metastore

import (
	"context"
	"encoding/json"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Create implements objectstore.Store.
func (s *Store) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	return s.write(ctx, "create", kind, name, func() (objectstore.Object, error) {
		if existing, found := s.objects[kind][name]; found {
			return objectstore.Object{}, &objectstore.ConflictError{Current: existing}
		}
		return s.put(kind, objectstore.Object{Name: name, Spec: spec}), nil
	})
}

// Replace implements objectstore.Store.
func (s *Store) Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (objectstore.Object, error) {
	return s.write(ctx, "replace", kind, name, func() (objectstore.Object, error) {
		existing, err := s.getAtRevision(kind, name, revision)
		if err != nil {
			return objectstore.Object{}, err
		}
		existing.Spec = spec
		return s.put(kind, existing), nil
	})
}

// ReplaceStatus implements objectstore.Store.
func (s *Store) ReplaceStatus(ctx context.Context, kind, name string, status json.RawMessage, revision uint64) (objectstore.Object, error) {
	return s.write(ctx, "status", kind, name, func() (objectstore.Object, error) {
		existing, err := s.getAtRevision(kind, name, revision)
		if err != nil {
			return objectstore.Object{}, err
		}
		existing.Status = status
		return s.put(kind, existing), nil
	})
}

// Delete implements objectstore.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, revision uint64) error {
	_, err := s.write(ctx, "delete", kind, name, func() (objectstore.Object, error) {
		existing, err := s.getAtRevision(kind, name, revision)
		if err != nil {
			return objectstore.Object{}, err
		}
		delete(s.objects[kind], name)
		s.revision++
		s.record(kind, objectstore.Change{Object: existing, Deleted: true})
		return existing, nil
	})
	return err
}

// getAtRevision returns an object. It returns a ConflictError if the object is not at the
// given revision. The mutex must be held.
func (s *Store) getAtRevision(kind, name string, revision uint64) (objectstore.Object, error) {
	existing, found := s.objects[kind][name]
	if !found {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	if revision != objectstore.Unconditional && existing.Revision != revision {
		return objectstore.Object{}, &objectstore.ConflictError{Current: existing}
	}
	return existing, nil
}
