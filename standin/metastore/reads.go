package metastore

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// pageLength is how many objects a page of a listing holds.
const pageLength = 50

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, kind, after string, _ objectstore.Freshness) (objectstore.Page, error) {
	if err := s.read(ctx, "list", kind, after); err != nil {
		return objectstore.Page{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := objectstore.Page{Revision: s.revision}
	for name, object := range s.objects[kind] {
		if name > after {
			page.Objects = append(page.Objects, object)
		}
	}
	slices.SortFunc(page.Objects, func(a, b objectstore.Object) int { return strings.Compare(a.Name, b.Name) })
	if len(page.Objects) > pageLength {
		page.Objects, page.More = page.Objects[:pageLength], true
	}
	return page, nil
}

// Get implements objectstore.Store.
func (s *Store) Get(ctx context.Context, kind, name string, _ objectstore.Freshness) (objectstore.Object, error) {
	if err := s.read(ctx, "get", kind, name); err != nil {
		return objectstore.Object{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[kind][name]
	if !found {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return object, nil
}

// Watch implements objectstore.Store.
func (s *Store) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (objectstore.Changes, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		if err := s.read(ctx, "watch", kind, ""); err != nil {
			return objectstore.Changes{}, err
		}
		s.mutex.Lock()
		if from < s.forgotten {
			s.mutex.Unlock()
			return objectstore.Changes{}, objectstore.ErrHistoryGone
		}
		changes := objectstore.Changes{Revision: s.revision}
		for _, past := range s.history {
			if past.kind == kind && past.at > from {
				changes.Events = append(changes.Events, past.change)
			}
		}
		changed := s.changed
		s.mutex.Unlock()
		if len(changes.Events) > 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return changes, nil
		case <-ctx.Done():
			return objectstore.Changes{}, &objectstore.UnansweredError{Cause: ctx.Err()}
		}
	}
}
