package metastore

import (
	"bytes"
	"sync"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Store is an in-memory metadata store. It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]objectstore.Object
	history  []event
	// compactedRevision is the revision up to which the history has been dropped.
	compactedRevision uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	fault   func(Call) Fault
	delay   func(Call) Delay
	// deferred are the writes that ApplyDeferred executes.
	deferred []func()
	calls    map[string]int
}

// event is one entry of the history.
type event struct {
	kind     string
	change   objectstore.Change
	revision uint64
}

var _ objectstore.Store = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{objects: map[string]map[string]objectstore.Object{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// put stores an object with the next revision. A write that changes nothing does not
// increase the revision. The mutex must be held.
func (s *Store) put(kind string, object objectstore.Object) objectstore.Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]objectstore.Object{}
	}
	existing, found := s.objects[kind][object.Name]
	if found && bytes.Equal(existing.Spec, object.Spec) && bytes.Equal(existing.Status, object.Status) {
		return existing
	}
	s.revision++
	object.Revision = s.revision
	s.objects[kind][object.Name] = object
	s.record(kind, objectstore.Change{Object: object})
	return object
}

func (s *Store) record(kind string, change objectstore.Change) {
	s.history = append(s.history, event{kind: kind, change: change, revision: s.revision})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
