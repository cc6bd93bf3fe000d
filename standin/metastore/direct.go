package metastore

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Objects returns the objects of a kind ordered by revision. Faults do not apply.
func (s *Store) Objects(kind string) []objectstore.Object {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.SortedFunc(maps.Values(s.objects[kind]), func(a, b objectstore.Object) int { return cmp.Compare(a.Revision, b.Revision) })
}

// Has reports whether an object exists. Faults do not apply.
func (s *Store) Has(kind, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.objects[kind][name]
	return found
}

// Calls returns the number of calls with a verb so far.
func (s *Store) Calls(verb string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[verb]
}

// Write creates an object or replaces its spec unconditionally, as operators, trainers and
// replicas do. Faults do not apply.
func (s *Store) Write(kind, name string, spec any) objectstore.Object {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.put(kind, objectstore.Object{Name: name, Spec: encoded, Status: s.objects[kind][name].Status})
}

// WriteRaw is Write with a spec of any bytes, as another writer may leave it.
func (s *Store) WriteRaw(kind, name string, spec []byte) objectstore.Object {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.put(kind, objectstore.Object{Name: name, Spec: spec, Status: s.objects[kind][name].Status})
}

// Remove deletes an object, as its writer or its expiry does. Faults do not apply.
func (s *Store) Remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(kind, objectstore.Change{Object: object, Deleted: true})
}

// CompactHistory drops the history of changes, so that watches from earlier revisions fail with
// ErrHistoryGone.
func (s *Store) CompactHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notify()
}
