package objects

import (
	"slices"
	"sync"
)

// historyLength is how many changes a watch can reach back.
const historyLength = 1024

// Object is one stored object.
type Object struct {
	Name    string
	Version uint64
	Data    []byte
}

// Store is safe for use by many goroutines.
type Store struct {
	mutex   sync.Mutex
	version uint64
	objects map[string]Object
	history []Object
	dropped uint64
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]Object{}, changed: make(chan struct{})}
}

// Get returns an object.
func (s *Store) Get(name string) (Object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[name]
	return object, found
}

// Put writes if the object is at ifVersion (0: does not exist) and tells
// whether it did.
func (s *Store) Put(name string, data []byte, ifVersion uint64) (Object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.objects[name].Version != ifVersion {
		return Object{}, false
	}
	s.version++
	object := Object{Name: name, Version: s.version, Data: data}
	s.objects[name] = object
	s.history = append(s.history, object)
	if len(s.history) > historyLength {
		s.dropped = s.history[0].Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return object, true
}

// Since returns the changes of the named objects after a version and the
// version to go on from; false means that the history does not reach back so
// far.
func (s *Store) Since(names []string, from uint64) ([]Object, uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if from < s.dropped {
		return nil, 0, false
	}
	var found []Object
	for _, object := range s.history {
		if object.Version > from && slices.Contains(names, object.Name) {
			found = append(found, object)
		}
	}
	return found, s.version, true
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}
