package test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/callers/forward"
)

// crashingRequest is a request under which each replica that runs it crashes.
type crashingRequest struct{ target, body string }

// crashingRequests are sent in each run: one to apps and one to engines.
var crashingRequests = []crashingRequest{
	{target: "/live/crash", body: crashingText + " as a plain request"},
	{target: "/chat/crash", body: crashingText + " as a stream"},
}

// popularBody is the body of a harmless request that is sent again and again.
const popularBody = "everybody asks this"

const (
	// minCrashInterval and maxCrashInterval bound the time between crashing requests, so
	// that the other checks have replicas between the crashes.
	minCrashInterval = 800 * time.Millisecond
	maxCrashInterval = 2500 * time.Millisecond
	// entryRemovalDelay is the time from the crash of a replica to the removal of its entry.
	entryRemovalDelay = 400 * time.Millisecond
	// quarantineTries bounds how often a crashing request is sent after the last fault until
	// it is refused: each try that a replica accepts crashes at least one, and earlier
	// crashes may have been forgotten.
	quarantineTries = maxCrashes + 1
	// maxAllFullRetries bounds the retries of requests that were refused because all replicas
	// were full.
	maxAllFullRetries = 8
)

// replaceCrashed replaces the replicas that have crashed.
func (s *soakRun) replaceCrashed() {
	for s.sleep(superviseInterval) {
		s.mutex.Lock()
		started := append([]*soakReplica(nil), s.replicas...)
		s.mutex.Unlock()
		for _, candidate := range started {
			if candidate.server.Ended() {
				s.removeReplica(candidate)
				s.startTask(func() { s.replace(candidate) })
			}
		}
	}
}

// replace starts the replacement of a crashed replica: under a new id, or under the same
// id with its entry removed before or not.
func (s *soakRun) replace(ended *soakReplica) {
	s.mutex.Lock()
	// 0: same id, entry kept; 1: new id, entry removed; 2: same id, entry removed.
	variant := s.replicasStarted % 3
	if !ended.drainedAt.IsZero() {
		// The drain removes the entry of this id later, so the id cannot be reused.
		variant = 1
	}
	s.mutex.Unlock()
	time.Sleep(entryRemovalDelay)
	if variant != 0 {
		s.store.Remove("servers", ended.id)
	}
	if variant == 1 {
		s.addReplica(ended.service)
		return
	}
	s.startReplica(ended.service, ended.id)
}

// sendCrashingRequests sends crashing requests, each with a popular one, until the last
// fault has ended.
func (s *soakRun) sendCrashingRequests() {
	random := newRandomStream(s.seed, streamCrashes)
	for count := 0; s.sleep(random.duration(minCrashInterval, maxCrashInterval)) && !s.faultsEnded.Load(); count++ {
		node := s.randomNode(random)
		s.sendCrashing(node, crashingRequests[random.intN(len(crashingRequests))], fmt.Sprint("crash.", count))
		s.sendPopular(node, fmt.Sprint("popular.", count))
	}
}

// sendCrashing sends a crashing request to a node.
func (s *soakRun) sendCrashing(node *soakNode, crashing crashingRequest, id string) (callerResponse, error) {
	request := &soakRequest{id: id, target: crashing.target, body: crashing.body}
	s.record.recordRequest(request)
	header := http.Header{"Pathtally-Model": {draftModel}, "Pathtally-Token-Usage": {"10,10"}}
	response, err := s.call(node, http.MethodPost, liveHost, request.target, id, []byte(request.body), header)
	s.recordEnd(request, response, err)
	return response, err
}

// sendPopular sends the popular request to a node.
func (s *soakRun) sendPopular(node *soakNode, id string) (callerResponse, error) {
	request := &soakRequest{id: id, target: "/live/popular", body: popularBody}
	s.record.recordRequest(request)
	response, err := s.call(node, http.MethodPost, liveHost, request.target, id, []byte(request.body), nil)
	s.recordEnd(request, response, err)
	return response, err
}

// runCount counts the runs of requests whose body contains a text.
func (s *soakRun) runCount(body string) int {
	count := 0
	for _, candidate := range s.allReplicas() {
		for _, run := range candidate.server.Runs() {
			if strings.Contains(run.Body, body) {
				count++
			}
		}
	}
	return count
}

// checkCrashing sends the crashing requests until they are refused. It checks that at most
// maxCrashes replicas crash under each, and that all nodes then refuse them and serve the
// popular request. It counts from the last fault on, since a loss of power of all nodes
// loses the crashes of requests that are not quarantined yet.
func (s *soakRun) checkCrashing() {
	for number, crashing := range crashingRequests {
		before := s.runCount(crashing.body)
		full := 0
		for try := 0; try < quarantineTries+full; try++ {
			response, err := s.sendCrashing(s.nodes[try%len(s.nodes)], crashing, fmt.Sprintf("calm.%d.%d", number, try))
			if isRefusal(response, err, forward.ReasonQuarantined) {
				break
			}
			if isRefusal(response, err, forward.ReasonAllFull) && full < maxAllFullRetries {
				// No replica accepted it, so none crashed under it.
				full++
			}
			time.Sleep(entryRemovalDelay + propagationTime/2)
		}
		if after := s.runCount(crashing.body); after-before > maxCrashes {
			s.record.fail("BUDGET", "a crashing request ran %d times after the last fault until it was refused, and %d times before", after-before, before)
		}
	}
	time.Sleep(propagationTime)
	s.checkQuarantined("in calm")
	for _, node := range s.nodes {
		response, err := s.sendPopular(node, "popular.calm."+node.name)
		if err != nil || response.status != http.StatusOK {
			s.record.fail("REFUSED", "%s responds to the popular request with %d, %v", node.name, response.status, err)
		}
	}
}

// isRefusal reports whether a response refuses a request as not run, for the given reason.
func isRefusal(response callerResponse, err error, reason string) bool {
	return err == nil && response.status == http.StatusServiceUnavailable && strings.Contains(response.body, reason)
}

// checkQuarantined checks that every node refuses the crashing requests without running them.
func (s *soakRun) checkQuarantined(when string) {
	for number, crashing := range crashingRequests {
		before := s.runCount(crashing.body)
		for _, node := range s.nodes {
			response, err := s.sendCrashing(node, crashing, fmt.Sprintf("check.%s.%d.%s", strings.ReplaceAll(when, " ", "-"), number, node.name))
			if err != nil || response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
				s.record.fail("BUDGET", "%s responds to a request under which %d replicas crashed with %d %s, %v", node.name, before, response.status, when, err)
			}
		}
		if after := s.runCount(crashing.body); after > before {
			s.record.fail("BUDGET", "a request under which %d replicas crashed ran %d times more %s", before, after-before, when)
		}
	}
}
