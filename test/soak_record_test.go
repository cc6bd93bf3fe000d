package test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// soakRequest is one request of a caller and how it ended.
type soakRequest struct {
	id     string
	target string
	body   string
	// once requests must not run twice.
	once   bool
	status int
	failed bool
}

// soakJob is a batch job as its trainer and other readers saw it.
type soakJob struct {
	id         string
	items      int
	minVersion int64
	accepted   time.Time
	// refused is set once every try was answered with a promise.
	refused bool
	results []itemResult
	// endedAt is when an end of the job was acknowledged first, zero for never.
	endedAt time.Time
	endPlan endPlan
	// draws decides what happens to this job.
	random *randomStream
}

// soakFinding is a promise that was broken.
type soakFinding struct{ rule, text string }

// soakRecord is everything seen in one run.
type soakRecord struct {
	mutex    sync.Mutex
	requests map[string]*soakRequest
	jobs     []*soakJob
	findings []soakFinding
	faults   []string
	logs     map[string][]byte
	served   int
	steps    int
	// hidings are times in which the report of an end may be late.
	disturbances []*disturbance
	// met counts the ends that had what they waited for.
	triggered map[endTrigger]int
}

func newSoakRecord() *soakRecord {
	return &soakRecord{requests: map[string]*soakRequest{}, logs: map[string][]byte{}, triggered: map[endTrigger]int{}}
}

// fail records a broken promise.
func (r *soakRecord) fail(rule, format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.findings = append(r.findings, soakFinding{rule, fmt.Sprintf(format, args...)})
}

func (r *soakRecord) addLog(node string, log []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.logs[node] = append(r.logs[node], log...)
}

func (r *soakRecord) addFault(what string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = append(r.faults, time.Now().Format("15:04:05.000")+" "+what)
}

// known is how many results of a job have been read.
func (r *soakRecord) resultCount(job *soakJob) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(job.results)
}

// accepted lists the jobs that were taken.
func (r *soakRecord) acceptedJobs() []*soakJob {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var taken []*soakJob
	for _, job := range r.jobs {
		if !job.accepted.IsZero() {
			taken = append(taken, job)
		}
	}
	return taken
}

// addStep counts a job that gave its trainer what it waited for.
func (r *soakRecord) addStep() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.steps++
}

// addMet counts a job whose end had what it waited for.
func (r *soakRecord) addTriggered(kind endTrigger) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.triggered[kind]++
}

// recordJobEnd records that an end of a job was acknowledged.
func (r *soakRecord) recordJobEnd(job *soakJob) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if job.endedAt.IsZero() {
		job.endedAt = time.Now()
	}
}

// sent records a request before it is sent.
func (r *soakRecord) recordRequest(request *soakRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[request.id] = request
}

// isPromise tells whether a status promises that the request never runs.
func isNotRunStatus(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// checkRuns judges what replicas ran by what was sent: nothing that was not
// sent, nothing changed, nothing twice that must not be, nothing that was
// refused with a promise.
func (r *soakRecord) checkRuns(runs []replica.Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	times := map[string]int{}
	for _, run := range runs {
		times[run.ID]++
		request := r.requests[run.ID]
		switch {
		case request == nil:
			r.add("UNASKED", "request %s was never sent", run.ID)
		case request.target != run.Target || request.body != run.Body:
			r.add("UNASKED", "request %s ran as %s %q, was sent as %s %q", run.ID, run.Target, run.Body, request.target, request.body)
		case request.once && times[run.ID] > 1:
			r.add("TWICE", "request %s ran %d times", run.ID, times[run.ID])
		}
	}
	for id, request := range r.requests {
		if request.once && isNotRunStatus(request.status) && times[id] > 0 {
			r.add("REFUSED", "request %s ran and was answered %d", id, request.status)
		}
	}
}

// checkRefused judges jobs that were refused with a promise at every try: none
// of their items runs.
func (r *soakRecord) checkRefused(runs []replica.Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, job := range r.jobs {
		for _, run := range runs {
			if job.refused && strings.HasPrefix(run.ID, job.id+".") {
				r.add("REFUSED", "item %s ran although its job was refused", run.ID)
			}
		}
	}
}

// add records a finding. The mutex must be held.
func (r *soakRecord) add(rule, format string, args ...any) {
	r.findings = append(r.findings, soakFinding{rule, fmt.Sprintf(format, args...)})
}

// checkOrders judges the orders that one replica got: a token never falls but
// for orders that a healed link or a woken process brought late, and each
// token has one owner.
func (r *soakRecord) checkOrders(name string, orders []replica.OrderSeen, heals []time.Time, owners map[uint64]string) {
	last := uint64(0)
	for _, order := range orders {
		if order.Token < last && !nearHeal(order.At, heals) {
			r.fail("ONE", "%s got token %d of %s after %d", name, order.Token, order.Owner, last)
		}
		last = max(last, order.Token)
		if owner := owners[order.Token]; owner != "" && owner != order.Owner {
			r.fail("ONE", "token %d was used by %s and %s", order.Token, owner, order.Owner)
		}
		owners[order.Token] = order.Owner
	}
}

// thawTime is for how long after a link was healed orders may be late.
const healGrace = 300 * time.Millisecond

func nearHeal(at time.Time, heals []time.Time) bool {
	for _, heal := range heals {
		if !at.Before(heal) && at.Sub(heal) < healGrace {
			return true
		}
	}
	return false
}

// checkDrained judges the runs of a replica that said it leaves while nothing
// else was disturbed.
func (r *soakRecord) checkDrained(name string, drainedAt time.Time, bound time.Duration, runs []replica.Run) {
	for _, run := range runs {
		if late := run.At.Sub(drainedAt); late > bound {
			r.fail("DRAIN", "request %s reached %s %s after it said that it leaves", run.ID, name, late)
		}
	}
}

// checkEvacuated judges the runs of a replica whose zone was evacuated while nothing
// else was disturbed, from the bound on until the evacuation was taken back.
func (r *soakRecord) checkEvacuated(name string, bound, end time.Time, runs []replica.Run) {
	for _, run := range runs {
		if run.At.After(bound) && run.At.Before(end) {
			r.fail("EVAC", "request %s reached %s %s after the bound of its zone's evacuation", run.ID, name, run.At.Sub(bound))
		}
	}
}

// checkPage judges a page of results by those read before: positions keep
// what they held, and a result is whole and fresh. A position before known, the
// number of those read before the page was asked for, is never empty.
func (r *soakRecord) checkPage(job *soakJob, from, known int, page []itemResult, node string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(page) == 0 && from < known {
		r.add("LOST", "job %s (ended %s) has nothing at position %d at %s, of %d read before", job.id, formatTime(job.endedAt), from, node, known)
	}
	for offset, result := range page {
		position := from + offset
		if position < len(job.results) {
			if job.results[position].ID != result.ID || job.results[position].Message != result.Message {
				r.add("TWICE", "job %s position %d holds %s at %s, held %s before", job.id, position, result.ID, node, job.results[position].ID)
			}
			continue
		}
		for _, earlier := range job.results {
			if earlier.ID == result.ID {
				r.add("TWICE", "job %s lists %s twice", job.id, result.ID)
			}
		}
		if result.State == "succeeded" {
			r.checkResult(job, result)
		}
		job.results = append(job.results, result)
	}
}

// checkResult judges one whole result. The mutex must be held.
func (r *soakRecord) checkResult(job *soakJob, result itemResult) {
	if result.Message != replica.Text(result.ID) {
		r.add("ORDER", "item %s has the text %q", result.ID, result.Message)
	}
	if result.Score == "" {
		r.add("MIXED", "item %s has no score", result.ID)
	}
	if len(result.Versions) == 0 {
		r.add("VERSION", "item %s names no version", result.ID)
	}
	for _, version := range result.Versions {
		if version < job.minVersion {
			r.add("VERSION", "item %s was made by version %d, the least is %d", result.ID, version, job.minVersion)
		}
	}
}
