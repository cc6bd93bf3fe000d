package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxWaiting bounds the requests that wait for one service at one node.
	maxWaiting = 256
	// refusalFraction is the fraction of the objective within which a request is refused. One
	// that has waited for longer is only kept if it is the next to start, and in time.
	refusalFraction = 0.25
	// retryRemainingFraction is the fraction of a caller's remaining time up to which callers
	// heed a Retry-After.
	retryRemainingFraction = 1.0 / 3
	// retrySpread is the fraction of a Retry-After at its bound over which callers are spread.
	retrySpread = 0.4
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 20 * time.Millisecond
)

// Reasons of refusals by a ServiceQueue. The texts are part of the response to the caller.
const (
	// ReasonTooLate refuses a request that cannot start in time behind those before it.
	ReasonTooLate Reason = "it could not be served in time"
	// ReasonWaiting refuses a request that gave its place to others within its wait.
	ReasonWaiting Reason = "others went before it"
	// ReasonBacklog refuses a request because maxWaiting requests go before it.
	ReasonBacklog Reason = "too many requests wait"
)

// Request is a request for a service.
type Request struct {
	// Priority is the priority, 0 being the highest.
	Priority int
	Tenant   string
	// Arrived is when the request reached this node, Deadline when its caller gives up.
	Arrived, Deadline time.Time
	Objective         time.Duration
	// Replicas are the replicas that may serve the request, in order of preference.
	Replicas []string

	// joined is when the request entered the queue.
	joined time.Time
	// next is set once the request has waited for refusalFraction and is the next to start.
	next bool
}

// Verdict is the decision about one request.
type Verdict struct {
	Request *Request
	// Replica is the replica to which the request is to be sent now; empty for a refusal.
	Replica string
	// Reason and RetryAfter are set for a refusal.
	Reason     Reason
	RetryAfter time.Duration
	// Ahead is the number of requests that were before it in the queue, Waited its time there.
	Ahead  int
	Waited time.Duration
}

// ServiceQueue decides when the requests of one node for one service are sent. It responds to
// overload of a service whose replicas serve dozens of nodes: each node then has a share of
// less than one request in progress at a replica. The state is pure: times and random numbers
// are passed in. It is not safe for concurrent use.
type ServiceQueue struct {
	limits map[string]*replicaLimit
	// slow holds the replicas whose answers are late without load.
	slow    map[string]slowReplica
	waiting []*Request
	shares  tenantShares
	// returnsAt is the time for which the last refused caller was told to return.
	returnsAt time.Time
}

// slowReplica is a replica whose answers are late without load.
type slowReplica struct {
	// base is its response time without load.
	base  time.Duration
	until time.Time
}

// NewServiceQueue returns a queue without limits.
func NewServiceQueue() *ServiceQueue {
	return &ServiceQueue{limits: map[string]*replicaLimit{}, slow: map[string]slowReplica{}}
}

// Active reports whether a limit is reduced or requests wait. If not, every request may be
// sent without Arrive.
func (q *ServiceQueue) Active(now time.Time) bool {
	for name, limit := range q.limits {
		limit.update(now)
		if !limit.limited() && !now.Before(limit.failedUntil) {
			delete(q.limits, name)
		}
	}
	for name, slow := range q.slow {
		if now.After(slow.until) {
			delete(q.slow, name)
		}
	}
	return len(q.limits) > 0 || len(q.waiting) > 0
}

// Waiting returns the number of requests that wait.
func (q *ServiceQueue) Waiting() int { return len(q.waiting) }

// Rate returns the sends per second to the replicas that are limited, 0 if none is.
func (q *ServiceQueue) Rate() (perSecond float64) {
	for _, limit := range q.limits {
		if limit.limited() {
			perSecond += limit.rate()
		}
	}
	return perSecond
}

// Arrive adds a request and returns the verdicts that follow. Without one for the request it
// waits.
func (q *ServiceQueue) Arrive(now time.Time, request *Request, random float64) []Verdict {
	request.joined, request.next = now, false
	q.shares.decay(now)
	q.shares.ask(request)
	q.waiting = append(q.waiting, request)
	return q.Advance(now, random)
}

// Leave removes a request that no longer waits for a verdict.
func (q *ServiceQueue) Leave(request *Request) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Request) bool { return other == request })
}

// Unsent returns the credit of a request that was not sent although its verdict allowed it.
func (q *ServiceQueue) Unsent(verdict Verdict) {
	if limit := q.limits[verdict.Replica]; limit != nil && limit.limited() {
		limit.credit++
	}
}

// Answered adds the response time of an answer, or of an attempt that has none yet.
func (q *ServiceQueue) Answered(now time.Time, answer Answer) {
	if slow, known := q.slow[answer.Replica]; known && now.Before(slow.until) {
		if answer.Late() {
			q.slow[answer.Replica] = slowReplica{base: slow.base, until: now.Add(slowLifetime)}
		}
		answer.Base = max(answer.Base, slow.base)
	}
	limit := q.limits[answer.Replica]
	if limit == nil {
		if !answer.Late() {
			return
		}
		limit = q.limit(answer.Replica)
	}
	limit.failedUntil = time.Time{}
	limit.observe(now, &answer)
	if limit.lateRun.showsSlowReplica(now) {
		q.slow[answer.Replica] = slowReplica{base: limit.lateRun.least, until: now.Add(slowLifetime)}
		limit.lateRun = lateRun{}
	}
}

// Rejected adds a rejection because of load.
func (q *ServiceQueue) Rejected(now time.Time, answer Answer) {
	delete(q.slow, answer.Replica)
	q.limit(answer.Replica).reject(now, &answer)
}

// Failed adds a failure that is not a sign of load, such as a broken connection. The replica
// does not count as capacity for failureHold.
func (q *ServiceQueue) Failed(now time.Time, replica string) {
	q.limit(replica).failedUntil = now.Add(failureHold)
}

func (q *ServiceQueue) limit(replica string) *replicaLimit {
	limit := q.limits[replica]
	if limit == nil {
		limit = &replicaLimit{}
		q.limits[replica] = limit
	}
	return limit
}

// Advance sends the waiting requests that may be sent, in order, and refuses those that can no
// longer start in time.
func (q *ServiceQueue) Advance(now time.Time, random float64) []Verdict {
	for _, limit := range q.limits {
		limit.update(now)
	}
	q.shares.decay(now)
	var verdicts []Verdict
	slices.SortStableFunc(q.waiting, q.compare)
	kept := make([]*Request, 0, len(q.waiting))
	for _, request := range q.waiting {
		verdict := Verdict{Request: request, Ahead: len(kept), Waited: now.Sub(request.joined)}
		if verdict.Replica = q.choose(now, request); verdict.Replica != "" {
			if limit := q.limits[verdict.Replica]; limit != nil {
				limit.take()
			}
			q.shares.send(request)
			verdicts = append(verdicts, verdict)
			continue
		}
		if verdict.Reason = q.refuses(now, request, len(kept)); verdict.Reason != "" {
			verdict.RetryAfter = q.retryAfter(now, request, len(kept), random)
			verdicts = append(verdicts, verdict)
			continue
		}
		kept = append(kept, request)
	}
	q.waiting = kept
	return verdicts
}

// NextAt returns when Advance must be called if nothing happens before, and false if no
// request waits.
func (q *ServiceQueue) NextAt(now time.Time) (time.Time, bool) {
	if len(q.waiting) == 0 {
		return time.Time{}, false
	}
	wait := math.Inf(1)
	for _, request := range q.waiting {
		start, _, _ := q.expect(now, request, 0)
		wait = min(wait, start)
		if left := request.joined.Add(refusalAfter(request)).Sub(now).Seconds(); left > 0 {
			wait = min(wait, left)
		}
	}
	const shortest, longest = 0.0005, 0.05
	return now.Add(seconds(min(longest, max(shortest, wait)))), true
}

// compare orders the queue: by priority, then requests that are next to start, then by the
// tenants' recent sends, then by the time left.
func (q *ServiceQueue) compare(a, b *Request) int {
	if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
		return order
	}
	if a.next != b.next {
		if a.next {
			return -1
		}
		return 1
	}
	if a.Tenant != b.Tenant {
		if order := cmp.Compare(q.shares.sent[a.Tenant], q.shares.sent[b.Tenant]); order != 0 {
			return order
		}
	}
	return a.Arrived.Add(a.Objective).Compare(b.Arrived.Add(b.Objective))
}

// choose returns the first replica that may get the request now, or "". A replica that failed
// is chosen only if all have.
func (q *ServiceQueue) choose(now time.Time, request *Request) string {
	standing := q.shares.standing(request)
	failed, limited := "", false
	for _, name := range request.Replicas {
		limit := q.limits[name]
		switch {
		case limit != nil && now.Before(limit.failedUntil):
			failed = cmp.Or(failed, name)
		case limit == nil || limit.allows(standing):
			return name
		default:
			limited = true
		}
	}
	if limited {
		return ""
	}
	return failed
}

// expect returns the seconds until a request behind a number of others starts, the seconds
// that its answer then takes, and the rate of sends to its replicas.
func (q *ServiceQueue) expect(now time.Time, request *Request, ahead int) (start, answer, rate float64) {
	standing := q.shares.standing(request)
	start = math.Inf(1)
	window := 0.0
	for _, name := range request.Replicas {
		limit := q.limits[name]
		if limit == nil || !limit.limited() || now.Before(limit.failedUntil) {
			continue
		}
		start = min(start, limit.wait(standing))
		window += limit.window
		rate += limit.rate()
	}
	if rate == 0 {
		return math.Inf(1), 0, 0
	}
	return start + float64(ahead)/rate, window / rate, rate
}

func refusalAfter(request *Request) time.Duration {
	return time.Duration(refusalFraction * float64(request.Objective))
}

// refuses returns the reason why a request that cannot be sent now must not wait, or "".
func (q *ServiceQueue) refuses(now time.Time, request *Request, ahead int) Reason {
	if ahead >= maxWaiting {
		return ReasonBacklog
	}
	start, answer, _ := q.expect(now, request, ahead)
	due := request.Arrived.Add(request.Objective)
	if request.Deadline.Before(due) {
		due = request.Deadline
	}
	if math.IsInf(start, 1) || now.Add(seconds(start+answer)).After(due) {
		return ReasonTooLate
	}
	if now.Sub(request.joined) < refusalAfter(request) || request.next {
		return ""
	}
	if ahead > 0 {
		return ReasonWaiting
	}
	request.next = true
	return ""
}

// RetryAfter returns when the caller of a request that is refused after rejections should
// return.
func (q *ServiceQueue) RetryAfter(now time.Time, request *Request, random float64) time.Duration {
	for name, limit := range q.limits {
		limit.update(now)
		request.Replicas = append(request.Replicas, name)
	}
	return q.retryAfter(now, request, len(q.waiting), random)
}

// retryAfter returns when the caller of a refused request should return. Refused callers get
// successive times at the rate of the sends, behind those that wait, up to the bound that
// callers heed; at the bound they are spread at random.
func (q *ServiceQueue) retryAfter(now time.Time, request *Request, ahead int, random float64) time.Duration {
	bound := time.Duration(retryRemainingFraction * float64(request.Deadline.Sub(now)))
	start, _, rate := q.expect(now, request, ahead)
	if rate == 0 {
		start, rate = 0, math.Inf(1)
		if bound > 0 {
			start = bound.Seconds()
		}
	}
	at := now.Add(seconds(start))
	if q.returnsAt.After(at) {
		at = q.returnsAt
	}
	at = at.Add(seconds(1 / rate))
	after := at.Sub(now)
	if after > bound {
		after = bound - time.Duration(retrySpread*random*float64(bound))
		at = now.Add(bound)
	} else {
		after += seconds(random / rate)
	}
	q.returnsAt = at
	return max(minRetryAfter, min(after, max(minRetryAfter, bound)))
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
