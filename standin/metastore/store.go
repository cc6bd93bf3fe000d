package metastore

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// ErrFault is the cause of failures that a test has asked for.
var ErrFault = merry.Sentinel("fault of the stand-in")

// pageLength is how many objects a page of a listing holds.
const pageLength = 50

// Fault decides what happens to a call before it is carried out.
type Fault int

// The faults of a call.
const (
	// Sound calls are carried out and answered.
	Sound Fault = iota
	// Refused calls do nothing and say so.
	Refused
	// Unanswered calls are done, and their answer is lost.
	Unanswered
	// Late calls are not answered and done when the test says so.
	Late
	// Silent calls are not done and not answered.
	Silent
)

// Call is what a fault is decided by.
type Call struct {
	// Verb is list, get, watch, create, replace or status.
	Verb string
	Kind string
	Name string
}

// Delay is how slow a call is: the time before it is carried out and from there
// to its answer. It is carried out also if its caller does not wait.
type Delay struct{ Before, After time.Duration }

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

// SetFault has every later call ask what happens to it; nil for none.
func (s *Store) SetFault(fault func(Call) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// SetDelay has every later call but watches ask how slow it is; nil for not at all.
func (s *Store) SetDelay(delay func(Call) Delay) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// delayOf is how slow a call is.
func (s *Store) delayOf(call Call) Delay {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.delay == nil || call.Verb == "watch" {
		return Delay{}
	}
	return s.delay(call)
}

// Objects returns what stands of a kind, without faults.
func (s *Store) Objects(kind string) []objectstore.Object {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.SortedFunc(maps.Values(s.objects[kind]), func(a, b objectstore.Object) int { return cmp.Compare(a.Revision, b.Revision) })
}

// Calls returns how many calls of a verb came.
func (s *Store) Calls(verb string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[verb]
}

// ApplyLate carries out the calls that were held back.
func (s *Store) ApplyLate() {
	s.mutex.Lock()
	late := s.late
	s.late = nil
	s.mutex.Unlock()
	for _, apply := range late {
		apply()
	}
}

// Forget drops the history, so that watches have to list anew.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.notify()
}

// Remove takes an object out, as its writer or a lapse does.
func (s *Store) Remove(kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(kind, objectstore.Change{Object: object, Gone: true})
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

// Has tells whether an object stands, without faults.
func (s *Store) Has(kind, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.objects[kind][name]
	return found
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

// enter counts a call and decides its fault.
func (s *Store) enter(ctx context.Context, verb, kind, name string) Fault {
	if ctx.Err() != nil {
		return Refused
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[verb]++
	if s.fault == nil {
		return Sound
	}
	return s.fault(Call{Verb: verb, Kind: kind, Name: name})
}

// read carries out a reading call under its fault.
func (s *Store) read(ctx context.Context, verb, kind, name string) error {
	switch s.enter(ctx, verb, kind, name) {
	case Sound:
		delay := s.delayOf(Call{Verb: verb, Kind: kind, Name: name})
		time.Sleep(delay.Before + delay.After)
		return nil
	case Refused:
		return &objectstore.RefusedError{Status: 503, Cause: ErrFault}
	}
	return &objectstore.UnansweredError{Cause: ErrFault}
}

// write carries out a writing call under its fault.
func (s *Store) write(ctx context.Context, verb, kind, name string, apply func() (objectstore.Object, error)) (objectstore.Object, error) {
	locked := func() (objectstore.Object, error) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return apply()
	}
	switch s.enter(ctx, verb, kind, name) {
	case Sound:
		delay := s.delayOf(Call{Verb: verb, Kind: kind, Name: name})
		time.Sleep(delay.Before)
		defer time.Sleep(delay.After)
		return locked()
	case Refused:
		return objectstore.Object{}, &objectstore.RefusedError{Status: 503, Cause: ErrFault}
	case Unanswered:
		locked()
	case Late:
		s.mutex.Lock()
		s.late = append(s.late, func() { locked() })
		s.mutex.Unlock()
	}
	return objectstore.Object{}, &objectstore.UnansweredError{Cause: ErrFault}
}

// List implements objectstore.Store.
func (s *Store) List(ctx context.Context, kind, after string, _ objectstore.Freshness) (objectstore.Page, error) {
	if err := s.read(ctx, "list", kind, after); err != nil {
		return objectstore.Page{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := objectstore.Page{At: s.revision}
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
		changes := objectstore.Changes{At: s.revision}
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
		existing, err := s.at(kind, name, revision)
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
		existing, err := s.at(kind, name, revision)
		if err != nil {
			return objectstore.Object{}, err
		}
		existing.Status = status
		return s.put(kind, existing), nil
	})
}

// at returns an object that is at a revision. The mutex must be held.
func (s *Store) at(kind, name string, revision uint64) (objectstore.Object, error) {
	existing, found := s.objects[kind][name]
	if !found {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	if revision != objectstore.Unconditional && existing.Revision != revision {
		return objectstore.Object{}, &objectstore.ConflictError{Current: existing}
	}
	return existing, nil
}
