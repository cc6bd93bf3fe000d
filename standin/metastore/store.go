package metastore

import (
	"bytes"
	"sync"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Store is the stand-in. It is safe for use by many goroutines.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]objectstore.Object
	history  []event
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	fault     func(Call) Fault
	delay     func(Call) Delay
	late      []func()
	calls     map[string]int
}

type event struct {
	kind   string
	change objectstore.Change
	at     uint64
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{objects: map[string]map[string]objectstore.Object{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// put stores an object under the next revision. The mutex must be held.
func (s *Store) put(kind string, object objectstore.Object) objectstore.Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]objectstore.Object{}
	}
	existing, found := s.objects[kind][object.Name]
	if found && bytes.Equal(existing.Spec, object.Spec) && bytes.Equal(existing.Status, object.Status) {
		// A write that changes nothing makes no revision.
		return existing
	}
	s.revision++
	object.Revision = s.revision
	s.objects[kind][object.Name] = object
	s.record(kind, objectstore.Change{Object: object})
	return object
}

func (s *Store) record(kind string, change objectstore.Change) {
	s.history = append(s.history, event{kind: kind, change: change, at: s.revision})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
