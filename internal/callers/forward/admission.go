package forward

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathtally/pathtally/internal/callers/admission"
)

const (
	// serviceRetryPercent limits the further attempts of a service's requests while it is
	// overloaded, as a percentage of its successes.
	serviceRetryPercent = 20
	// admissionRefresh is the interval at which the limits of an overloaded service are
	// updated when no request needs it earlier.
	admissionRefresh = 250 * time.Millisecond
)

// serviceAdmissions holds the admission control of each service. It is safe for concurrent use.
type serviceAdmissions struct {
	byService sync.Map
	metrics   *Metrics
}

// of returns the admission control of a service.
func (s *serviceAdmissions) of(service string) *serviceAdmission {
	if found, ok := s.byService.Load(service); ok {
		return found.(*serviceAdmission)
	}
	created := &serviceAdmission{
		service: service, metrics: s.metrics, queue: admission.NewServiceQueue(),
		results: map[*admission.Request]chan admission.Verdict{},
	}
	created.retries.Store(admission.NewRetryBudget(serviceRetryPercent))
	found, _ := s.byService.LoadOrStore(service, created)
	return found.(*serviceAdmission)
}

// serviceAdmission is the admission control of one service: the state machine with its clock,
// timer and the channels to the requests that wait. It is safe for concurrent use.
type serviceAdmission struct {
	service string
	metrics *Metrics
	// retries is replaced when the service becomes overloaded, so that the successes before do
	// not allow retries then.
	retries atomic.Pointer[admission.RetryBudget]
	// active is set while a limit is reduced or requests wait. While it is not set, requests
	// are sent without the mutex.
	active atomic.Bool

	mutex sync.Mutex
	queue *admission.ServiceQueue
	// results holds the channel of each request that waits.
	results map[*admission.Request]chan admission.Verdict
	timer   *time.Timer
}

// arrive adds a request to the queue. Its verdict is sent to the returned channel. The channel
// is nil if the service is no longer overloaded.
func (s *serviceAdmission) arrive(request *admission.Request) <-chan admission.Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if !s.queue.Active(now) {
		s.update(now, nil)
		return nil
	}
	result := make(chan admission.Verdict, 1)
	s.results[request] = result
	s.update(now, s.queue.Arrive(now, request, rand.Float64()))
	return result
}

// leave removes a request whose context has ended. The verdict is the one that was received, if
// any; result may contain another one.
func (s *serviceAdmission) leave(request *admission.Request, verdict admission.Verdict, result <-chan admission.Verdict) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queue.Leave(request)
	delete(s.results, request)
	select {
	case verdict = <-result:
	default:
	}
	if verdict.Replica != "" {
		s.queue.Unsent(verdict)
	}
	s.update(time.Now(), nil)
}

// retryAfter returns the Retry-After for a request that is refused after rejections.
func (s *serviceAdmission) retryAfter(request *admission.Request) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.queue.RetryAfter(time.Now(), request, rand.Float64())
}

// answered adds the response time of an attempt. Answers in time are ignored without the
// mutex while the service is not overloaded.
func (s *serviceAdmission) answered(answer admission.Answer) {
	if !s.active.Load() && !answer.Late() {
		return
	}
	s.apply(func(now time.Time) { s.queue.Answered(now, answer) })
}

// rejected adds a rejection because of load.
func (s *serviceAdmission) rejected(answer admission.Answer) {
	s.apply(func(now time.Time) { s.queue.Rejected(now, answer) })
}

// failed adds a failed connection, which matters only while the service is overloaded.
func (s *serviceAdmission) failed(replica string) {
	if s.active.Load() {
		s.apply(func(now time.Time) { s.queue.Failed(now, replica) })
	}
}

// apply changes the state of the queue and sends the verdicts that follow.
func (s *serviceAdmission) apply(change func(now time.Time)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	change(now)
	s.update(now, s.queue.Advance(now, rand.Float64()))
}

// advance sends the verdicts that follow from the time.
func (s *serviceAdmission) advance() { s.apply(func(time.Time) {}) }

// update sends verdicts and sets the timer, the metrics and active. The mutex must be held.
func (s *serviceAdmission) update(now time.Time, verdicts []admission.Verdict) {
	for _, verdict := range verdicts {
		s.results[verdict.Request] <- verdict
		delete(s.results, verdict.Request)
	}
	active := s.queue.Active(now)
	if !s.active.Swap(active) && active {
		s.retries.Store(admission.NewRetryBudget(serviceRetryPercent))
	}
	s.metrics.limit.WithLabelValues(s.service).Set(s.queue.Rate())
	s.metrics.waiting.WithLabelValues(s.service).Set(float64(s.queue.Waiting()))
	if s.timer != nil {
		s.timer.Stop()
	}
	if !active {
		return
	}
	delay := admissionRefresh
	if next, waits := s.queue.NextAt(now); waits {
		delay = min(delay, next.Sub(now))
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(delay, s.advance)
		return
	}
	s.timer.Reset(delay)
}
