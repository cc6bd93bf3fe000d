package metastore

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Objects returns the objects of a kind by revision, without faults.
func (s *Store) Objects(kind string) []objectstore.Object {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.SortedFunc(maps.Values(s.objects[kind]), func(a, b objectstore.Object) int { return cmp.Compare(a.Revision, b.Revision) })
}

// Has tells whether an object exists, without faults.
func (s *Store) Has(kind, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.objects[kind][name]
	return found
}

// Calls returns the number of calls of a verb so far.
func (s *Store) Calls(verb string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[verb]
}

// Write creates or replaces an object unconditionally and without faults, as
// operators, trainers and replicas do.
func (s *Store) Write(kind, name string, spec any) objectstore.Object {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.put(kind, objectstore.Object{Name: name, Spec: encoded, Status: s.objects[kind][name].Status})
}

// Remove deletes an object, as its writer or its expiry does.
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

// Forget drops the history, so that watches have to list anew.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.notify()
}
