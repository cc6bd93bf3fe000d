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
	// stepTime is when a trainer gives a step up.
	stepTimeout = 8 * time.Second
	// wantedShare is the part of a step's results that its trainer waits for.
	wantedShare = 0.9
)

// call sends one request to a node's process of now, on a connection of its own.
func (w *soakRun) call(node *soakNode, method, host, target, id string, body []byte, header http.Header) (callerResponse, error) {
	return w.callOn(nil, node, method, host, target, id, body, header)
}

// callOn is call for a caller that may have a client.
func (w *soakRun) callOn(client *http.Client, node *soakNode, method, host, target, id string, body []byte, header http.Header) (callerResponse, error) {
	process, _ := node.process()
	header = header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Pathtally-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	return call{
		client: client, address: process.http, method: method, host: host, target: target, id: id, body: body, header: header, limit: callTimeout + time.Second,
	}.do()
}

// callers send live requests to all nodes. Every other one keeps its connections
// open and uses them until the process is gone.
func (w *soakRun) runCaller(number int) {
	random := newRandomStream(w.seed, streamCallers+uint64(number))
	var client *http.Client
	if number%2 == 1 {
		client = &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: callTimeout + time.Second}
		defer client.CloseIdleConnections()
	}
	for count := 0; w.sleep(callInterval); count++ {
		node := w.randomNode(random)
		id := fmt.Sprintf("call.%d.%d", number, count)
		switch random.intN(4) {
		case 0:
			w.callOnce(client, node, &soakRequest{id: id, target: "/once/a%2Fb?q=%20" + id, body: "transfer " + id, once: true})
		case 1:
			w.callStream(client, node, &soakRequest{id: id, target: "/chat/" + id, body: "hello " + id})
		default:
			w.callOnce(client, node, &soakRequest{id: id, target: "/live/" + id, body: "look up " + id})
		}
	}
}

// recordEnd records how a request ended.
func (w *soakRun) recordEnd(request *soakRequest, response callerResponse, err error) {
	w.record.mutex.Lock()
	defer w.record.mutex.Unlock()
	request.status, request.failed = response.status, err != nil
	if err == nil && response.status == http.StatusOK {
		w.record.served++
	}
}

func (w *soakRun) callOnce(client *http.Client, node *soakNode, request *soakRequest) {
	w.record.recordRequest(request)
	response, err := w.callOn(client, node, http.MethodPost, liveHost, request.target, request.id, []byte(request.body), nil)
	w.recordEnd(request, response, err)
	if err == nil && response.status == http.StatusOK && response.body != "answer to "+request.id+": "+request.body {
		w.record.fail("MIXED", "request %s got %q", request.id, response.body)
	}
}

func (w *soakRun) callStream(client *http.Client, node *soakNode, request *soakRequest) {
	w.record.recordRequest(request)
	prompt := http.Header{"Pathtally-Model": {draftModel}, "Pathtally-Token-Usage": {"10,10"}, "Pathtally-Prefix-Hash": {"ab:5," + fmt.Sprintf("%x", len(request.id)) + ":5"}}
	response, err := w.callOn(client, node, http.MethodPost, liveHost, request.target, request.id, []byte(request.body), prompt)
	w.recordEnd(request, response, err)
	if err == nil && response.status == http.StatusOK && streamText(response.body) != replica.Text(request.id) {
		w.record.fail("ORDER", "stream %s looks complete with %q", request.id, streamText(response.body))
	}
}

// trainer asks for one step after the other.
func (w *soakRun) runTrainer(number int) {
	for step := 0; w.sleep(0); step++ {
		job := drawJob(w.seed, number, step)
		w.record.mutex.Lock()
		w.record.jobs = append(w.record.jobs, job)
		w.record.mutex.Unlock()
		job.minVersion = max(1, w.newestWeightVersion()-1)
		if w.submit(job, int64(step)) {
			w.follow(job)
			w.endJob(job)
		}
		if number == firstTrainer {
			w.publishWeights()
		}
	}
}

func (w *soakRun) newestWeightVersion() int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.weightVersion
}

// renewWeights names the next version of the model's weights.
func (w *soakRun) publishWeights() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.weightVersion++
	w.store.Write("versions", draftModel, map[string]any{"model": draftModel, "version": w.weightVersion})
}

// submit hands a job in until it is taken, and gives up after a while.
func (w *soakRun) submit(job *soakJob, step int64) bool {
	var requests []map[string]any
	for number := range job.items {
		item := draftItem(job.id, number)
		requests = append(requests, item)
		id := item["id"].(string)
		w.record.recordRequest(&soakRequest{id: id, target: item["path"].(string), body: string(item["body"].([]byte))})
		w.record.recordRequest(&soakRequest{id: "score." + id, target: "/score/" + id, body: "text"})
	}
	body, err := json.Marshal(map[string]any{"step": step, "model": draftModel, "minVersion": job.minVersion, "desired": job.items / 4, "requests": requests})
	if err != nil {
		w.record.fail("TEST", "%v", err)
		return false
	}
	refused := true
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); {
		node := w.randomNode(job.random)
		response, err := w.call(node, http.MethodPost, draftHost, "/drafts/"+job.id, job.id, body, nil)
		if err == nil && response.status == http.StatusAccepted {
			w.record.mutex.Lock()
			job.accepted = time.Now()
			w.record.mutex.Unlock()
			return true
		}
		refused = refused && err == nil && isNotRunStatus(response.status)
		if !w.sleep(100 * time.Millisecond) {
			break
		}
	}
	w.record.mutex.Lock()
	job.refused = refused
	w.record.mutex.Unlock()
	return false
}

// page reads results of a job at a node and judges them.
func (w *soakRun) page(node *soakNode, job *soakJob, from int) (callerResponse, error) {
	known := w.record.resultCount(job)
	response, err := w.call(node, http.MethodGet, draftHost, fmt.Sprintf("/-/lots/%s?sinceRev=%d", job.id, from), "reader", nil,
		http.Header{"Pathtally-Wait-Ms": {"300"}})
	if err == nil && (response.status == http.StatusNotFound || response.status == http.StatusGone) {
		w.record.fail("LOST", "job %s was accepted and %s answers %d", job.id, node.name, response.status)
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
		w.record.fail("MIXED", "job %s read at %s: total %d, next %d from %d with %d, %v", job.id, node.name, page.Total, page.NextToken, from, len(page.Results), err)
		return response, err
	}
	w.record.checkPage(job, from, known, page.Results, node.name)
	return response, nil
}

// follow reads a job's results, now and then from an earlier position, until its
// trainer ends it.
func (w *soakRun) follow(job *soakJob) {
	if job.endPlan.awaitsEvent() {
		w.awaitEndTrigger(job)
		return
	}
	began := time.Now()
	for time.Since(began) < stepTimeout {
		known := w.record.resultCount(job)
		if known >= int(wantedShare*float64(job.items)) {
			w.record.addStep()
			return
		}
		if job.endPlan.trigger == endAfterDelay && time.Since(began) >= job.endPlan.delay {
			return
		}
		from := known
		if known > 0 && job.random.intN(4) == 0 {
			from = job.random.intN(known)
		}
		w.page(w.randomNode(job.random), job, from)
		if !w.sleep(60 * time.Millisecond) {
			return
		}
	}
}

const (
	// longestAwait is for how long a job waits for what it is to be ended at, and
	// awaitPollInterval the time between checks.
	endTriggerTimeout = 12 * time.Second
	awaitPollInterval = 10 * time.Millisecond
)

// awaitEnding waits for the moment that a job is to be ended at. It reads nothing
// itself, since a read may take longer than the moment lasts.
func (w *soakRun) awaitEndTrigger(job *soakJob) {
	restarts, began := w.restarts.Load(), time.Now()
	for !w.isTriggered(job, restarts) {
		if time.Since(began) > endTriggerTimeout || w.record.resultCount(job) == job.items || !w.sleep(awaitPollInterval) {
			return
		}
	}
	w.record.addTriggered(job.endPlan.trigger)
	w.sleep(job.endPlan.delay)
}

// isMet tells whether what a job's end waits for has come, where so many node
// processes had ended before.
func (w *soakRun) isTriggered(job *soakJob, restarts int64) bool {
	switch job.endPlan.trigger {
	case endAfterRestart:
		return w.restarts.Load() > restarts
	case endDuringAppend:
		return w.slowCalls.inProgress(jobstore.KindResults, "create", job.id)
	case endDuringPayloadRead:
		return w.slowCalls.inProgress(jobstore.KindPayloads, "get", job.id)
	}
	return false
}

// endJob ends a job, some at two nodes at once and some again later.
func (w *soakRun) endJob(job *soakJob) {
	var ends sync.WaitGroup
	if job.endPlan.concurrent {
		ends.Go(func() { w.endOnce(job) })
	}
	w.endOnce(job)
	ends.Wait()
	if job.endPlan.repeated && w.sleep(job.random.duration(0, time.Second)) {
		w.endOnce(job)
	}
}

// endOnce ends a job until that is acknowledged, but not for ever.
func (w *soakRun) endOnce(job *soakJob) {
	for end := time.Now().Add(stepTimeout); time.Now().Before(end); {
		response, err := w.call(w.randomNode(job.random), http.MethodDelete, draftHost, "/-/lots/"+job.id, "end", nil, nil)
		if err == nil && response.status == http.StatusOK {
			w.record.recordJobEnd(job)
			return
		}
		if !w.sleep(100 * time.Millisecond) {
			return
		}
	}
}

const (
	soakReaders    = 10
	readerInterval = 40 * time.Millisecond
	// recentJobs is how many of the newest jobs most reads are for.
	recentJobs = 8
)

// reader reads jobs that are open or have ended at any node: the newest, and now
// and then any, from where the results end or from an earlier position.
func (w *soakRun) runReader(number int) {
	random := newRandomStream(w.seed, streamReaders+uint64(number))
	for w.sleep(readerInterval) {
		jobs := w.record.acceptedJobs()
		if len(jobs) == 0 {
			continue
		}
		if random.intN(4) > 0 {
			jobs = jobs[max(0, len(jobs)-recentJobs):]
		}
		job := jobs[random.intN(len(jobs))]
		position := w.record.resultCount(job)
		if position > 0 && random.intN(2) == 0 {
			position = max(0, position-1-random.intN(3))
		}
		w.page(w.randomNode(random), job, position)
	}
}

// replicaHeartbeats keeps the entries of engines current.
func (w *soakRun) refreshEngineEntries() {
	written := map[string]int64{}
	for w.sleep(200 * time.Millisecond) {
		for _, engine := range w.ofService("engines") {
			if version := engine.server.Version(); written[engine.id] != version {
				written[engine.id] = version
				w.rewriteEntry(engine)
			}
		}
	}
}

// refresh writes a living replica's entry again.
func (w *soakRun) rewriteEntry(living *soakReplica) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, candidate := range w.replicas {
		if candidate == living && living.drainedAt.IsZero() {
			w.store.Write("servers", living.id, living.entry("ready"))
		}
	}
}

// versionProber watches that no node goes back to an older configuration
// within one life of its process.
func (w *soakRun) probeConfigVersion(node *soakNode) {
	seenIncarnation, seenVersion := 0, 0
	for count := 0; w.sleep(100 * time.Millisecond); count++ {
		_, incarnation := node.process()
		if incarnation != seenIncarnation {
			seenIncarnation, seenVersion = incarnation, 0
		}
		newest, _ := w.newestConfigVersion()
		asked := max(seenVersion, newest-1)
		if count%2 == 0 {
			asked = newest
		}
		request := &soakRequest{id: fmt.Sprintf("probe.%s.%d", node.name, count), target: versionPath(asked) + "x", body: "probe"}
		w.record.recordRequest(request)
		response, err := w.call(node, http.MethodPost, liveHost, request.target, request.id, []byte(request.body), nil)
		w.recordEnd(request, response, err)
		_, incarnationAfter := node.process()
		newestAfter, _ := w.newestConfigVersion()
		switch {
		case err != nil || incarnationAfter != incarnation:
		case response.status == http.StatusOK:
			seenVersion = max(seenVersion, asked)
		case response.status == http.StatusNotFound && seenVersion >= asked && newestAfter <= asked+1:
			w.record.fail("CONFIG", "%s knew version %d and answers 404 on the route of version %d", node.name, seenVersion, asked)
		}
	}
}
