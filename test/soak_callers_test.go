package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/standin/replica"
)

const (
	soakCallers  = 4
	soakTrainers = 6
	callInterval = 15 * time.Millisecond
	callTimeout  = 4 * time.Second
	// stepTimeout is how long a trainer waits for the results of a step.
	stepTimeout = 8 * time.Second
	// wantedShare is the fraction of a step's results that its trainer waits for.
	wantedShare = 0.9
)

// call sends one request to a node's current process on a new connection.
func (s *soakRun) call(node *soakNode, method, host, target, id string, body []byte, header http.Header) (callerResponse, error) {
	return s.callOn(nil, node, method, host, target, id, body, header)
}

// callOn is call with a client, or on a new connection if the client is nil.
func (s *soakRun) callOn(client *http.Client, node *soakNode, method, host, target, id string, body []byte, header http.Header) (callerResponse, error) {
	process, _ := node.process()
	header = header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Pathtally-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	return call{
		client: client, address: process.http, method: method, host: host, target: target, id: id, body: body, header: header, timeout: callTimeout + time.Second,
	}.do()
}

// runCaller sends live requests to all nodes. Callers with odd numbers reuse their
// connections.
func (s *soakRun) runCaller(number int) {
	random := newRandomStream(s.seed, streamCallers+uint64(number))
	var client *http.Client
	if number%2 == 1 {
		client = &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: callTimeout + time.Second}
		defer client.CloseIdleConnections()
	}
	for count := 0; s.sleep(callInterval); count++ {
		node := s.randomNode(random)
		id := fmt.Sprintf("call.%d.%d", number, count)
		switch random.intN(4) {
		case 0:
			s.callOnce(client, node, &soakRequest{id: id, target: "/once/a%2Fb?q=%20" + id, body: "transfer " + id, once: true})
		case 1:
			s.callStream(client, node, &soakRequest{id: id, target: "/chat/" + id, body: "hello " + id})
		default:
			s.callOnce(client, node, &soakRequest{id: id, target: "/live/" + id, body: "look up " + id})
		}
	}
}

// recordEnd records the outcome of a request.
func (s *soakRun) recordEnd(request *soakRequest, response callerResponse, err error) {
	s.record.mutex.Lock()
	defer s.record.mutex.Unlock()
	request.status, request.failed = response.status, err != nil
	if err == nil && response.status == http.StatusOK {
		s.record.served++
	}
}

func (s *soakRun) callOnce(client *http.Client, node *soakNode, request *soakRequest) {
	s.record.recordRequest(request)
	response, err := s.callOn(client, node, http.MethodPost, liveHost, request.target, request.id, []byte(request.body), nil)
	s.recordEnd(request, response, err)
	if err == nil && response.status == http.StatusOK && response.body != "answer to "+request.id+": "+request.body {
		s.record.fail("MIXED", "request %s received %q", request.id, response.body)
	}
}

func (s *soakRun) callStream(client *http.Client, node *soakNode, request *soakRequest) {
	s.record.recordRequest(request)
	prompt := http.Header{"Pathtally-Model": {draftModel}, "Pathtally-Token-Usage": {"10,10"}, "Pathtally-Prefix-Hash": {"ab:5," + fmt.Sprintf("%x", len(request.id)) + ":5"}}
	response, err := s.callOn(client, node, http.MethodPost, liveHost, request.target, request.id, []byte(request.body), prompt)
	s.recordEnd(request, response, err)
	if err == nil && response.status == http.StatusOK && streamText(response.body) != replica.Text(request.id) {
		s.record.fail("ORDER", "stream %s looks complete with %q", request.id, streamText(response.body))
	}
}

// runTrainer submits, reads and ends one job after the other.
func (s *soakRun) runTrainer(number int) {
	for step := 0; s.sleep(0); step++ {
		job := drawJob(s.seed, number, step)
		s.record.mutex.Lock()
		s.record.jobs = append(s.record.jobs, job)
		s.record.mutex.Unlock()
		job.minVersion = max(1, s.newestWeightVersion()-1)
		if s.submit(job, int64(step)) {
			s.follow(job)
			s.endJob(job)
		}
		if number == firstTrainer {
			s.publishWeights()
		}
	}
}

func (s *soakRun) newestWeightVersion() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.weightVersion
}

// publishWeights publishes the next weight version of the model.
func (s *soakRun) publishWeights() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.weightVersion++
	s.store.Write("versions", draftModel, map[string]any{"model": draftModel, "version": s.weightVersion})
}

// submit submits a job until it is accepted or stepTimeout has passed.
func (s *soakRun) submit(job *soakJob, step int64) bool {
	var requests []map[string]any
	for number := range job.items {
		item := draftItem(job.id, number)
		requests = append(requests, item)
		id := item["id"].(string)
		s.record.recordRequest(&soakRequest{id: id, target: item["path"].(string), body: string(item["body"].([]byte))})
		s.record.recordRequest(&soakRequest{id: "score." + id, target: "/score/" + id, body: "text"})
	}
	body, err := json.Marshal(map[string]any{"step": step, "model": draftModel, "minVersion": job.minVersion, "desired": job.items / 4, "requests": requests})
	if err != nil {
		s.record.fail("TEST", "%v", err)
		return false
	}
	refused := true
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); {
		node := s.randomNode(job.random)
		response, err := s.call(node, http.MethodPost, draftHost, "/drafts/"+job.id, job.id, body, nil)
		if err == nil && response.status == http.StatusAccepted {
			s.record.mutex.Lock()
			job.accepted = time.Now()
			s.record.mutex.Unlock()
			return true
		}
		refused = refused && err == nil && isNotRunStatus(response.status)
		if !s.sleep(100 * time.Millisecond) {
			break
		}
	}
	s.record.mutex.Lock()
	job.refused = refused
	s.record.mutex.Unlock()
	return false
}

// page reads results of a job at a node, from a position on, and checks them.
func (s *soakRun) page(node *soakNode, job *soakJob, from int) (callerResponse, error) {
	known := s.record.resultCount(job)
	response, err := s.call(node, http.MethodGet, draftHost, fmt.Sprintf("/-/lots/%s?sinceRev=%d", job.id, from), "reader", nil,
		http.Header{"Pathtally-Wait-Ms": {"300"}})
	if err == nil && (response.status == http.StatusNotFound || response.status == http.StatusGone) {
		s.record.fail("LOST", "job %s was accepted, but %s responds with %d", job.id, node.name, response.status)
	}
	if err != nil || response.status != http.StatusOK {
		return response, err
	}
	var page struct {
		Total     int
		NextToken int
		Results   []itemResult
	}
	if err := json.Unmarshal([]byte(response.body), &page); err != nil || page.Total != job.items || page.NextToken != from+len(page.Results) {
		s.record.fail("MIXED", "page of job %s at %s: total %d, next token %d from position %d with %d results, %v", job.id, node.name, page.Total, page.NextToken, from, len(page.Results), err)
		return response, err
	}
	s.record.checkPage(job, from, known, page.Results, node.name)
	return response, nil
}

// follow reads a job's results, now and then from an earlier position, until it is time
// to end the job.
func (s *soakRun) follow(job *soakJob) {
	if job.endPlan.awaitsEvent() {
		s.awaitEndTrigger(job)
		return
	}
	began := time.Now()
	for time.Since(began) < stepTimeout {
		known := s.record.resultCount(job)
		if known >= int(wantedShare*float64(job.items)) {
			s.record.addStep()
			return
		}
		if job.endPlan.trigger == endAfterDelay && time.Since(began) >= job.endPlan.delay {
			return
		}
		from := known
		if known > 0 && job.random.intN(4) == 0 {
			from = job.random.intN(known)
		}
		s.page(s.randomNode(job.random), job, from)
		if !s.sleep(60 * time.Millisecond) {
			return
		}
	}
}

const (
	// endTriggerTimeout bounds the wait for the event at which a job is to be ended.
	endTriggerTimeout = 12 * time.Second
	awaitPollInterval = 10 * time.Millisecond
)

// awaitEndTrigger waits for the event at which a job is to be ended. It reads no results,
// since a read may take longer than the event lasts.
func (s *soakRun) awaitEndTrigger(job *soakJob) {
	restarts, began := s.restarts.Load(), time.Now()
	for !s.isTriggered(job, restarts) {
		if time.Since(began) > endTriggerTimeout || s.record.resultCount(job) == job.items || !s.sleep(awaitPollInterval) {
			return
		}
	}
	s.record.addTriggered(job.endPlan.trigger)
	s.sleep(job.endPlan.delay)
}

// isTriggered reports whether the event at which a job is to be ended has happened.
// restarts is the restart count at the beginning of the wait.
func (s *soakRun) isTriggered(job *soakJob, restarts int64) bool {
	switch job.endPlan.trigger {
	case endAfterRestart:
		return s.restarts.Load() > restarts
	case endDuringAppend:
		return s.slowCalls.inProgress(jobstore.KindResults, "create", job.id)
	case endDuringPayloadRead:
		return s.slowCalls.inProgress(jobstore.KindPayloads, "get", job.id)
	}
	return false
}

// endJob ends a job; depending on its plan, twice at the same time, or again later.
func (s *soakRun) endJob(job *soakJob) {
	var ends sync.WaitGroup
	if job.endPlan.concurrent {
		ends.Go(func() { s.endUntilAcknowledged(job) })
	}
	s.endUntilAcknowledged(job)
	ends.Wait()
	if job.endPlan.repeated && s.sleep(job.random.duration(0, time.Second)) {
		s.endUntilAcknowledged(job)
	}
}

// endUntilAcknowledged retries to end a job until that is acknowledged or stepTimeout has passed.
func (s *soakRun) endUntilAcknowledged(job *soakJob) {
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); {
		response, err := s.call(s.randomNode(job.random), http.MethodDelete, draftHost, "/-/lots/"+job.id, "end", nil, nil)
		if err == nil && response.status == http.StatusOK {
			s.record.recordJobEnd(job)
			return
		}
		if !s.sleep(100 * time.Millisecond) {
			return
		}
	}
}

const (
	soakReaders    = 10
	readerInterval = 40 * time.Millisecond
	// recentJobs is the number of newest jobs that most reads are for.
	recentJobs = 8
)

// runReader reads accepted jobs, running and ended, at random nodes: mostly recent jobs,
// from the end of the known results or from an earlier position.
func (s *soakRun) runReader(number int) {
	random := newRandomStream(s.seed, streamReaders+uint64(number))
	for s.sleep(readerInterval) {
		jobs := s.record.acceptedJobs()
		if len(jobs) == 0 {
			continue
		}
		if random.intN(4) > 0 {
			jobs = jobs[max(0, len(jobs)-recentJobs):]
		}
		job := jobs[random.intN(len(jobs))]
		position := s.record.resultCount(job)
		if position > 0 && random.intN(2) == 0 {
			position = max(0, position-1-random.intN(3))
		}
		s.page(s.randomNode(random), job, position)
	}
}

// refreshEngineEntries rewrites the entries of engines whose weight version has changed.
func (s *soakRun) refreshEngineEntries() {
	written := map[string]int64{}
	for s.sleep(200 * time.Millisecond) {
		for _, engine := range s.ofService("engines") {
			if version := engine.server.Version(); written[engine.id] != version {
				written[engine.id] = version
				s.rewriteEntry(engine)
			}
		}
	}
}

// rewriteEntry writes the entry of a replica unless it has been removed or drains.
func (s *soakRun) rewriteEntry(running *soakReplica) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, candidate := range s.replicas {
		if candidate == running && running.drainedAt.IsZero() {
			s.store.Write("servers", running.id, running.entry("ready"))
		}
	}
}

// probeConfigVersion checks that no process of a node returns to an older configuration.
func (s *soakRun) probeConfigVersion(node *soakNode) {
	seenIncarnation, seenVersion := 0, 0
	for count := 0; s.sleep(100 * time.Millisecond); count++ {
		_, incarnation := node.process()
		if incarnation != seenIncarnation {
			seenIncarnation, seenVersion = incarnation, 0
		}
		newest, _ := s.newestConfigVersion()
		probed := max(seenVersion, newest-1)
		if count%2 == 0 {
			probed = newest
		}
		request := &soakRequest{id: fmt.Sprintf("probe.%s.%d", node.name, count), target: versionPath(probed) + "x", body: "probe"}
		s.record.recordRequest(request)
		response, err := s.call(node, http.MethodPost, liveHost, request.target, request.id, []byte(request.body), nil)
		s.recordEnd(request, response, err)
		_, incarnationAfter := node.process()
		newestAfter, _ := s.newestConfigVersion()
		switch {
		case err != nil || incarnationAfter != incarnation:
		case response.status == http.StatusOK:
			seenVersion = max(seenVersion, probed)
		case response.status == http.StatusNotFound && seenVersion >= probed && newestAfter <= probed+1:
			s.record.fail("CONFIG", "%s had configuration version %d and responds with 404 on the route of version %d", node.name, seenVersion, probed)
		}
	}
}
