package metastore

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// ErrFault is the cause of failures that a test has asked for.
var ErrFault = merry.Sentinel("fault of the stand-in")

// Fault decides what happens to a call before it is carried out.
type Fault int

// The faults of a call.
const (
	// Sound calls are carried out and answered.
	Sound Fault = iota
	// Refused calls have no effect, and the answer says so.
	Refused
	// Unanswered calls take effect, and their answer is lost.
	Unanswered
	// Late calls are not answered, and take effect at ApplyLate.
	Late
	// Silent calls have no effect and are not answered.
	Silent
)

// Call is a call as faults and delays see it.
type Call struct {
	// Verb is list, get, watch, create, replace or status.
	Verb string
	Kind string
	Name string
}

// Delay is how slow a call is: the time before it is carried out and from there
// to its answer. It is carried out also if its caller does not wait.
type Delay struct{ Before, After time.Duration }

// SetFault decides the fault of every later call; nil for none.
func (s *Store) SetFault(fault func(Call) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// SetDelay decides the delay of every later call but watches; nil for none.
func (s *Store) SetDelay(delay func(Call) Delay) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// delayOf returns the delay of a call.
func (s *Store) delayOf(call Call) Delay {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.delay == nil || call.Verb == "watch" {
		return Delay{}
	}
	return s.delay(call)
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
