package metastore

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// ErrFault is the cause of errors that a test has injected.
var ErrFault = merry.Sentinel("injected fault")

// Fault is an injected fault of a call.
type Fault int

const (
	// NoFault executes the call and returns its result.
	NoFault Fault = iota
	// Refused fails the call with a RefusedError. The call has no effect.
	Refused
	// ResponseLost executes the call and loses its response.
	ResponseLost
	// Deferred loses the response and executes a write only at ApplyDeferred.
	Deferred
	// Dropped loses the call. It has no effect and no response.
	Dropped
)

// Call describes a call for the choice of its fault and delay.
type Call struct {
	// Verb is list, get, watch, create, replace, status or delete.
	Verb string
	Kind string
	Name string
}

// Delay is the time from a call to its execution and from there to its response. The call is
// executed even if its caller stops waiting.
type Delay struct{ Before, After time.Duration }

// SetFault sets the function that returns the fault of each later call; nil for no faults.
func (s *Store) SetFault(fault func(Call) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// SetDelay sets the function that returns the delay of each later call except watches; nil
// for no delays.
func (s *Store) SetDelay(delay func(Call) Delay) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

func (s *Store) delayOf(call Call) Delay {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.delay == nil || call.Verb == "watch" {
		return Delay{}
	}
	return s.delay(call)
}

// begin counts a call and returns its fault.
func (s *Store) begin(ctx context.Context, verb, kind, name string) Fault {
	if ctx.Err() != nil {
		return Refused
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[verb]++
	if s.fault == nil {
		return NoFault
	}
	return s.fault(Call{Verb: verb, Kind: kind, Name: name})
}

// beginRead applies the fault and the delay of a read. The caller reads if it returns nil.
func (s *Store) beginRead(ctx context.Context, verb, kind, name string) error {
	switch s.begin(ctx, verb, kind, name) {
	case NoFault:
		delay := s.delayOf(Call{Verb: verb, Kind: kind, Name: name})
		time.Sleep(delay.Before + delay.After)
		return nil
	case Refused:
		return &objectstore.RefusedError{Status: 503, Cause: ErrFault}
	}
	return &objectstore.UnansweredError{Cause: ErrFault}
}

// write executes a write subject to its fault and delay. It calls apply with the mutex held.
func (s *Store) write(ctx context.Context, verb, kind, name string, apply func() (objectstore.Object, error)) (objectstore.Object, error) {
	applyLocked := func() (objectstore.Object, error) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return apply()
	}
	switch s.begin(ctx, verb, kind, name) {
	case NoFault:
		delay := s.delayOf(Call{Verb: verb, Kind: kind, Name: name})
		time.Sleep(delay.Before)
		defer time.Sleep(delay.After)
		return applyLocked()
	case Refused:
		return objectstore.Object{}, &objectstore.RefusedError{Status: 503, Cause: ErrFault}
	case ResponseLost:
		applyLocked()
	case Deferred:
		s.mutex.Lock()
		s.deferred = append(s.deferred, func() { applyLocked() })
		s.mutex.Unlock()
	}
	return objectstore.Object{}, &objectstore.UnansweredError{Cause: ErrFault}
}

// ApplyDeferred executes the writes that were held back, in order.
func (s *Store) ApplyDeferred() {
	s.mutex.Lock()
	deferred := s.deferred
	s.deferred = nil
	s.mutex.Unlock()
	for _, apply := range deferred {
		apply()
	}
}
