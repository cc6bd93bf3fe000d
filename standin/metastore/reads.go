package metastore

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// pageLength is the maximum number of objects in a page of a listing.
const pageLength = 50

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, kind, after string, _ objectstore.Freshness) (objectstore.Page, error) {
	if err := s.beginRead(ctx, "list", kind, after); err != nil {
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
	if err := s.beginRead(ctx, "get", kind, name); err != nil {
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
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if err := s.beginRead(ctx, "watch", kind, ""); err != nil {
			return objectstore.Changes{}, err
		}
		s.mutex.Lock()
		if from < s.compactedRevision {
			s.mutex.Unlock()
			return objectstore.Changes{}, objectstore.ErrHistoryGone
		}
		changes := objectstore.Changes{Revision: s.revision}
		for _, recorded := range s.history {
			if recorded.kind == kind && recorded.revision > from {
				changes.Events = append(changes.Events, recorded.change)
			}
		}
		changed := s.changed
		s.mutex.Unlock()
		if len(changes.Events) > 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return changes, nil
		case <-ctx.Done():
			return objectstore.Changes{}, &objectstore.UnansweredError{Cause: ctx.Err()}
		}
	}
}
