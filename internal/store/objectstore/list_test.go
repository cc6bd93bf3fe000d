package objectstore_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// pagedStore lists count objects, perPage on each page. The call with number failAt,
// counted from 1, fails.
type pagedStore struct {
	objectstore.Store
	count, perPage, failAt int
	calls                  int
}

func (s *pagedStore) List(_ context.Context, _, after string, _ objectstore.Freshness) (objectstore.Page, error) {
	s.calls++
	if s.calls == s.failAt {
		return objectstore.Page{}, &objectstore.UnansweredError{Cause: context.Canceled}
	}
	page := objectstore.Page{Revision: uint64(s.calls)}
	for number := range s.count {
		name := fmt.Sprintf("%03d", number)
		if name <= after {
			continue
		}
		if len(page.Objects) == s.perPage {
			page.More = true
			break
		}
		page.Objects = append(page.Objects, objectstore.Object{Name: name})
	}
	return page, nil
}

func TestListAllReturnsFirstRevision(t *testing.T) {
	for _, count := range []int{0, 1, 9, 10, 11, 35} {
		store := &pagedStore{count: count, perPage: 10}
		listed, err := objectstore.ListAll(t.Context(), store, "kind", objectstore.Linearizable)
		if err != nil || len(listed.Objects) != count || listed.Revision != 1 {
			t.Errorf("%d objects: listed %d at revision %d, error %v", count, len(listed.Objects), listed.Revision, err)
		}
	}
}

func TestListAllFailsIfAPageFails(t *testing.T) {
	store := &pagedStore{count: 35, perPage: 10, failAt: 3}
	listed, err := objectstore.ListAll(t.Context(), store, "kind", objectstore.Linearizable)
	var unanswered *objectstore.UnansweredError
	if !errors.As(err, &unanswered) || len(listed.Objects) != 0 {
		t.Errorf("%d objects listed, error %v", len(listed.Objects), err)
	}
}
