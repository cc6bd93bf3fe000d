package test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// soakRequest is one request of a caller and its outcome.
type soakRequest struct {
	id     string
	target string
	body   string
	// once is set for unsafe requests, which must not run twice.
	once   bool
	status int
	failed bool
}

// soakJob is a batch job and what its trainer and other readers have seen of it.
type soakJob struct {
	id         string
	items      int
	minVersion int64
	accepted   time.Time
	// refused is set if every submission was refused with a status that promises that the job
	// does not run.
	refused bool
	results []itemResult
	// endedAt is when the end of the job was first acknowledged, zero for never.
	endedAt time.Time
	endPlan endPlan
	// random is the random stream of this job.
	random *randomStream
}

// soakFinding is a violation of a rule that the soak checks.
type soakFinding struct{ rule, text string }

// soakRecord is everything observed in one run.
type soakRecord struct {
	mutex    sync.Mutex
	requests map[string]*soakRequest
	jobs     []*soakJob
	findings []soakFinding
	faults   []string
	logs     map[string][]byte
	served   int
	steps    int
	// disturbances are the periods that extend the bounds for ended jobs.
	disturbances []*disturbance
	// triggered counts the jobs whose end was triggered by the event they waited for.
	triggered map[endTrigger]int
}

func newSoakRecord() *soakRecord {
	return &soakRecord{requests: map[string]*soakRequest{}, logs: map[string][]byte{}, triggered: map[endTrigger]int{}}
}

// fail records a finding.
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

func (r *soakRecord) addFault(description string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = append(r.faults, time.Now().Format("15:04:05.000")+" "+description)
}

// resultCount returns how many results of a job have been read.
func (r *soakRecord) resultCount(job *soakJob) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(job.results)
}

// acceptedJobs returns the jobs that a node has accepted.
func (r *soakRecord) acceptedJobs() []*soakJob {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var accepted []*soakJob
	for _, job := range r.jobs {
		if !job.accepted.IsZero() {
			accepted = append(accepted, job)
		}
	}
	return accepted
}

// addStep counts a job of which the trainer received wantedShare of the results.
func (r *soakRecord) addStep() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.steps++
}

// addTriggered counts a job whose end was triggered by the event it waited for.
func (r *soakRecord) addTriggered(trigger endTrigger) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.triggered[trigger]++
}

// recordJobEnd records that the end of a job was acknowledged.
func (r *soakRecord) recordJobEnd(job *soakJob) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if job.endedAt.IsZero() {
		job.endedAt = time.Now()
	}
}

// recordRequest records a request before it is sent.
func (r *soakRecord) recordRequest(request *soakRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[request.id] = request
}

// isNotRunStatus reports whether a status promises that the request never runs.
func isNotRunStatus(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// checkRuns checks the runs of replicas against the requests: each was sent, with the same
// target and body, no unsafe one ran twice, and no unsafe one ran that was refused as not
// run.
func (r *soakRecord) checkRuns(runs []replica.Run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	times := map[string]int{}
	for _, run := range runs {
		times[run.ID]++
		request := r.requests[run.ID]
		switch {
		case request == nil:
			r.add("UNASKED", "request %s ran but was not sent", run.ID)
		case request.target != run.Target || request.body != run.Body:
			r.add("UNASKED", "request %s ran as %s %q, but was sent as %s %q", run.ID, run.Target, run.Body, request.target, request.body)
		case request.once && times[run.ID] > 1:
			r.add("TWICE", "request %s ran %d times", run.ID, times[run.ID])
		}
	}
	for id, request := range r.requests {
		if request.once && isNotRunStatus(request.status) && times[id] > 0 {
			r.add("REFUSED", "request %s ran, but its response was %d", id, request.status)
		}
	}
}

// checkRefused checks that no item ran of a job whose submissions were all refused.
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

// add records a finding. r.mutex must be held.
func (r *soakRecord) add(rule, format string, args ...any) {
	r.findings = append(r.findings, soakFinding{rule, fmt.Sprintf(format, args...)})
}

// checkOrders checks the weight orders that a replica received: fencing tokens do not
// decrease, except for orders delayed by a link or process that has just recovered, and
// each token has one owner.
func (r *soakRecord) checkOrders(name string, orders []replica.ReceivedOrder, heals []time.Time, owners map[uint64]string) {
	last := uint64(0)
	for _, order := range orders {
		if order.Token < last && !nearHeal(order.At, heals) {
			r.fail("ONE", "%s received fencing token %d of %s after %d", name, order.Token, order.Owner, last)
		}
		last = max(last, order.Token)
		if owner := owners[order.Token]; owner != "" && owner != order.Owner {
			r.fail("ONE", "fencing token %d was used by %s and %s", order.Token, owner, order.Owner)
		}
		owners[order.Token] = order.Owner
	}
}

// healGrace is how long after the recovery of a link or process delayed orders may arrive.
const healGrace = 300 * time.Millisecond

func nearHeal(at time.Time, heals []time.Time) bool {
	for _, heal := range heals {
		if !at.Before(heal) && at.Sub(heal) < healGrace {
			return true
		}
	}
	return false
}

// checkDrained checks that a replica got no request later than the bound after it was
// marked as draining. It is for replicas drained while there was no other fault.
func (r *soakRecord) checkDrained(name string, drainedAt time.Time, bound time.Duration, runs []replica.Run) {
	for _, run := range runs {
		if late := run.At.Sub(drainedAt); late > bound {
			r.fail("DRAIN", "request %s reached %s %s after it was marked as draining", run.ID, name, late)
		}
	}
}

// checkEvacuated checks that a replica of an evacuated zone got no request between the
// bound and the end of the evacuation. It is for evacuations without other faults.
func (r *soakRecord) checkEvacuated(name string, bound, end time.Time, runs []replica.Run) {
	for _, run := range runs {
		if run.At.After(bound) && run.At.Before(end) {
			r.fail("EVAC", "request %s reached %s in an evacuated zone %s after the bound", run.ID, name, run.At.Sub(bound))
		}
	}
}

// checkPage checks a page of results, from a position on: results read before stay at their
// positions, no item is listed twice, and new results are correct. known is the number of
// results read before the page was requested; a page from a position below it is not empty.
func (r *soakRecord) checkPage(job *soakJob, from, known int, page []itemResult, node string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(page) == 0 && from < known {
		r.add("LOST", "job %s (ended %s) has no result at position %d at %s, but %d were read before", job.id, formatTime(job.endedAt), from, node, known)
	}
	for offset, result := range page {
		position := from + offset
		if position < len(job.results) {
			if job.results[position].ID != result.ID || job.results[position].Message != result.Message {
				r.add("TWICE", "job %s, position %d: item %s at %s, but item %s before", job.id, position, result.ID, node, job.results[position].ID)
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

// checkResult checks a succeeded result. r.mutex must be held.
func (r *soakRecord) checkResult(job *soakJob, result itemResult) {
	if result.Message != replica.Text(result.ID) {
		r.add("ORDER", "item %s has the wrong text %q", result.ID, result.Message)
	}
	if result.Score == "" {
		r.add("MIXED", "item %s has no score", result.ID)
	}
	if len(result.Versions) == 0 {
		r.add("VERSION", "item %s has no version", result.ID)
	}
	for _, version := range result.Versions {
		if version < job.minVersion {
			r.add("VERSION", "item %s was generated by version %d, want at least %d", result.ID, version, job.minVersion)
		}
	}
}
