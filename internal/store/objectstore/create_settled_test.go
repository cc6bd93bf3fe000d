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

// answerTime is how long a client waits for a response.
const answerTime = 1500 * time.Millisecond

// awayStore responds to no call before an instant, and never to the first few calls.
type awayStore struct {
	Store
	back    time.Time
	silent  int
	refuses bool

	mutex sync.Mutex
	made  bool
	tries int
	open  int
	most  int
}

func (s *awayStore) Create(ctx context.Context, _, name string, spec json.RawMessage) (Object, error) {
	s.mutex.Lock()
	s.tries++
	s.open++
	s.most = max(s.most, s.open)
	silent := s.tries <= s.silent || time.Now().Before(s.back)
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.open--
		s.mutex.Unlock()
	}()
	switch {
	case s.refuses:
		return Object{}, &RefusedError{Status: 503, Cause: merry.New("refused")}
	case silent:
		Sleep(ctx, answerTime)
		return Object{}, &UnansweredError{Cause: merry.New("no answer")}
	}
	time.Sleep(4 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.made {
		return Object{}, &ConflictError{Current: Object{Name: name, Spec: spec}}
	}
	s.made = true
	return Object{Name: name, Spec: spec}, nil
}

func TestCreatesAreSettledSoonAfterAnOutage(t *testing.T) {
	for _, test := range []struct {
		name string
		away time.Duration
		// silent is how many calls never get a response.
		silent int
		within time.Duration
	}{
		{"well", 0, 0, 10 * time.Millisecond},
		{"one answer lost", 0, 1, 600 * time.Millisecond},
		{"three answers lost", 0, 3, 1700 * time.Millisecond},
		{"away for three seconds", 3 * time.Second, 0, 3600 * time.Millisecond},
		{"away for a moment", 100 * time.Millisecond, 0, 600 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := &awayStore{back: time.Now().Add(test.away), silent: test.silent}
			began := time.Now()
			_, outcome, err := CreateWithRetry(t.Context(), store, "kind", "name", json.RawMessage(`1`))
			if outcome != Created || err != nil {
				t.Errorf("%s: %v, %v", test.name, outcome, err)
			}
			if took := time.Since(began); took > test.within || took < test.away {
				t.Errorf("%s: took %s", test.name, took)
			}
			if store.most > maxOpenAttempts {
				t.Errorf("%s: %d attempts at a time", test.name, store.most)
			}
			time.Sleep(time.Minute)
		})
	}
}

func TestWhatIsKnownWhenTheTimeForACreateEnds(t *testing.T) {
	for _, test := range []struct {
		name    string
		store   *awayStore
		within  time.Duration
		outcome CreateOutcome
	}{
		{"never answered", &awayStore{silent: 1000}, 5 * time.Second, OutcomeUnknown},
		{"cut during the first try", &awayStore{silent: 1000}, 100 * time.Millisecond, OutcomeUnknown},
		{"refused throughout", &awayStore{refuses: true}, 5 * time.Second, NotCreated},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), test.within)
			defer cancel()
			began := time.Now()
			_, outcome, err := CreateWithRetry(ctx, test.store, "kind", "name", json.RawMessage(`1`))
			if outcome != test.outcome || err == nil {
				t.Errorf("%s: %v, %v", test.name, outcome, err)
			}
			if took := time.Since(began); took != test.within {
				t.Errorf("%s: took %s", test.name, took)
			}
			var unanswered *UnansweredError
			if test.outcome == OutcomeUnknown && !errors.As(err, &unanswered) {
				t.Errorf("%s: %v", test.name, err)
			}
			time.Sleep(time.Minute)
		})
	}
}
