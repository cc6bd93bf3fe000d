package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
)

// clientTimeout is how long a client waits for a response.
const clientTimeout = 1500 * time.Millisecond

// unavailableStore responds to no call before availableAt, and never to the first
// lostResponses calls. If refuses is set, it refuses every call.
type unavailableStore struct {
	Store
	availableAt   time.Time
	lostResponses int
	refuses       bool

	mutex    sync.Mutex
	created  bool
	attempts int
	open     int
	maxOpen  int
}

func (s *unavailableStore) Create(ctx context.Context, _, name string, spec json.RawMessage) (Object, error) {
	s.mutex.Lock()
	s.attempts++
	s.open++
	s.maxOpen = max(s.maxOpen, s.open)
	noResponse := s.attempts <= s.lostResponses || time.Now().Before(s.availableAt)
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.open--
		s.mutex.Unlock()
	}()
	switch {
	case s.refuses:
		return Object{}, &RefusedError{Status: 503, Cause: merry.New("refused")}
	case noResponse:
		Sleep(ctx, clientTimeout)
		return Object{}, &UnansweredError{Cause: merry.New("no response")}
	}
	time.Sleep(4 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.created {
		return Object{}, &ConflictError{Current: Object{Name: name, Spec: spec}}
	}
	s.created = true
	return Object{Name: name, Spec: spec}, nil
}

func TestCreateWithRetryAfterOutage(t *testing.T) {
	for _, test := range []struct {
		name          string
		outage        time.Duration
		lostResponses int
		maxDuration   time.Duration
	}{
		{"available", 0, 0, 10 * time.Millisecond},
		{"one response lost", 0, 1, 600 * time.Millisecond},
		{"three responses lost", 0, 3, 1700 * time.Millisecond},
		{"outage of three seconds", 3 * time.Second, 0, 3600 * time.Millisecond},
		{"outage of 100 ms", 100 * time.Millisecond, 0, 600 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := &unavailableStore{availableAt: time.Now().Add(test.outage), lostResponses: test.lostResponses}
			start := time.Now()
			_, outcome, err := CreateWithRetry(t.Context(), store, "kind", "name", json.RawMessage(`1`))
			if outcome != Created || err != nil {
				t.Errorf("%s: unexpected outcome %v, error %v", test.name, outcome, err)
			}
			if took := time.Since(start); took > test.maxDuration || took < test.outage {
				t.Errorf("%s: unexpected duration %s", test.name, took)
			}
			if store.maxOpen > maxOpenAttempts {
				t.Errorf("%s: %d open attempts, want at most maxOpenAttempts", test.name, store.maxOpen)
			}
			time.Sleep(time.Minute)
		})
	}
}

func TestCreateWithRetryOutcomeAtTimeout(t *testing.T) {
	for _, test := range []struct {
		name    string
		store   *unavailableStore
		timeout time.Duration
		outcome CreateOutcome
	}{
		{"no response", &unavailableStore{lostResponses: 1000}, 5 * time.Second, OutcomeUnknown},
		{"timeout during the first attempt", &unavailableStore{lostResponses: 1000}, 100 * time.Millisecond, OutcomeUnknown},
		{"every attempt refused", &unavailableStore{refuses: true}, 5 * time.Second, NotCreated},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
			defer cancel()
			start := time.Now()
			_, outcome, err := CreateWithRetry(ctx, test.store, "kind", "name", json.RawMessage(`1`))
			if outcome != test.outcome || err == nil {
				t.Errorf("%s: unexpected outcome %v, error %v", test.name, outcome, err)
			}
			if took := time.Since(start); took != test.timeout {
				t.Errorf("%s: unexpected duration %s", test.name, took)
			}
			var unanswered *UnansweredError
			if test.outcome == OutcomeUnknown && !errors.As(err, &unanswered) {
				t.Errorf("%s: got error %v, want an *UnansweredError", test.name, err)
			}
			time.Sleep(time.Minute)
		})
	}
}
