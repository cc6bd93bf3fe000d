package test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/callers/forward"
)

// crashingRequest is a request that ends each replica that begins to run it.
type crashingRequest struct{ target, body string }

// crashingRequests are those of each run: one that engines run and one that apps run.
var crashingRequests = []crashingRequest{
	{target: "/live/crash", body: crashingText + " as a plain request"},
	{target: "/chat/crash", body: crashingText + " as a stream"},
}

// popularBody is that of a good request which comes again and again.
const popularBody = "everybody asks this"

const (
	// shortestCrashPause and longestCrashPause are the time between requests that end
	// replicas: with less, those that remain have no time to show anything else.
	minCrashInterval = 800 * time.Millisecond
	maxCrashInterval = 2500 * time.Millisecond
	// entryLapse is how long the entry of a replica that has ended stands.
	entryRemovalDelay = 400 * time.Millisecond
	// calmTries bounds how often a request is sent in calm until it is refused: each try
	// that a replica takes ends one at the least, and what was known of ends before may be
	// lost.
	quarantineTries = maxCrashes + 1
	// maxFullTries bounds the further tries for those that every replica turned away.
	maxAllFullRetries = 8
)

// replaceEnded replaces the replicas that have ended by themselves.
func (w *soakRun) replaceCrashed() {
	for w.sleep(superviseInterval) {
		w.mutex.Lock()
		started := append([]*soakReplica(nil), w.replicas...)
		w.mutex.Unlock()
		for _, seen := range started {
			if seen.server.Ended() {
				w.removeReplica(seen)
				w.startTask(func() { w.replace(seen) })
			}
		}
	}
}

// replace has an ended replica start again: under a new id once its entry has lapsed, or
// under the id that it had, before that or after.
func (w *soakRun) replace(ended *soakReplica) {
	w.mutex.Lock()
	way := w.replicasStarted % 3
	if !ended.drainedAt.IsZero() {
		// Whoever drains it takes the entry of its id away later.
		way = 1
	}
	w.mutex.Unlock()
	time.Sleep(entryRemovalDelay)
	if way != 0 {
		w.store.Remove("servers", ended.id)
	}
	if way == 1 {
		w.addReplica(ended.service)
		return
	}
	w.startReplica(ended.service, ended.id)
}

// crashers send the requests that end replicas, and a popular one beside them, while
// faults come.
func (w *soakRun) sendCrashingRequests() {
	random := newRandomStream(w.seed, streamCrashes)
	for count := 0; w.sleep(random.duration(minCrashInterval, maxCrashInterval)) && !w.faultsEnded.Load(); count++ {
		node := w.randomNode(random)
		w.sendCrashing(node, crashingRequests[random.intN(len(crashingRequests))], fmt.Sprint("crash.", count))
		w.sendPopular(node, fmt.Sprint("popular.", count))
	}
}

// sendCrashing sends a request that ends replicas to a node.
func (w *soakRun) sendCrashing(node *soakNode, crashing crashingRequest, id string) (callerResponse, error) {
	request := &soakRequest{id: id, target: crashing.target, body: crashing.body}
	w.record.recordRequest(request)
	header := http.Header{"Pathtally-Model": {draftModel}, "Pathtally-Token-Usage": {"10,10"}}
	response, err := w.call(node, http.MethodPost, liveHost, request.target, id, []byte(request.body), header)
	w.recordEnd(request, response, err)
	return response, err
}

// sendPopular sends the popular request to a node.
func (w *soakRun) sendPopular(node *soakNode, id string) (callerResponse, error) {
	request := &soakRequest{id: id, target: "/live/popular", body: popularBody}
	w.record.recordRequest(request)
	response, err := w.call(node, http.MethodPost, liveHost, request.target, id, []byte(request.body), nil)
	w.recordEnd(request, response, err)
	return response, err
}

// runsOf counts the runs of requests with a body.
func (w *soakRun) runCount(body string) int {
	count := 0
	for _, seen := range w.allReplicas() {
		for _, run := range seen.server.Runs() {
			if strings.Contains(run.Body, body) {
				count++
			}
		}
	}
	return count
}

// checkCrashing sends the requests that end replicas in calm until they are refused, and
// checks that no more replicas end under each than may, and that all nodes then refuse
// them and serve the popular one. Ends from before the calm may be forgotten: where all
// nodes lose power, those that are less than enough are known to nobody any more, and up
// to as many more replicas end than otherwise.
func (w *soakRun) checkCrashing() {
	for number, crashing := range crashingRequests {
		before := w.runCount(crashing.body)
		full := 0
		for try := 0; try < quarantineTries+full; try++ {
			response, err := w.sendCrashing(w.nodes[try%len(w.nodes)], crashing, fmt.Sprintf("calm.%d.%d", number, try))
			if isRefusal(response, err, forward.ReasonQuarantined) {
				break
			}
			if isRefusal(response, err, forward.ReasonAllFull) && full < maxAllFullRetries {
				// No replica took it, so none has ended under it.
				full++
			}
			time.Sleep(entryRemovalDelay + propagationTime/2)
		}
		if after := w.runCount(crashing.body); after-before > maxCrashes {
			w.record.fail("BUDGET", "a request ran %d times in calm until it was refused, %d times before", after-before, before)
		}
	}
	time.Sleep(propagationTime)
	w.checkQuarantined("in calm")
	for _, node := range w.nodes {
		response, err := w.sendPopular(node, "popular.calm."+node.name)
		if err != nil || response.status != http.StatusOK {
			w.record.fail("REFUSED", "%s answers the popular request with %d, %v", node.name, response.status, err)
		}
	}
}

// isRefusal tells whether an answer refuses a request as not run, for a reason.
func isRefusal(response callerResponse, err error, reason string) bool {
	return err == nil && response.status == http.StatusServiceUnavailable && strings.Contains(response.body, reason)
}

// checkQuarantined checks that no node sends on the requests that end replicas.
func (w *soakRun) checkQuarantined(when string) {
	for number, crashing := range crashingRequests {
		before := w.runCount(crashing.body)
		for _, node := range w.nodes {
			response, err := w.sendCrashing(node, crashing, fmt.Sprintf("check.%s.%d.%s", strings.ReplaceAll(when, " ", "-"), number, node.name))
			if err != nil || response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
				w.record.fail("BUDGET", "%s answers a request under which %d replicas have ended with %d %s, %v", node.name, before, response.status, when, err)
			}
		}
		if after := w.runCount(crashing.body); after > before {
			w.record.fail("BUDGET", "a request under which %d replicas have ended ran %d times more %s", before, after-before, when)
		}
	}
}
