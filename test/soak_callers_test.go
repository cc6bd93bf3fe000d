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
	callPause    = 15 * time.Millisecond
	callTime     = 4 * time.Second
	// stepTime is when a trainer gives a step up.
	stepTime = 8 * time.Second
	// wantedShare is the part of a step's results that its trainer waits for.
	wantedShare = 0.9
)

// call sends one request to a node's process of now, on a connection of its own.
func (w *soakWorld) call(node *soakNode, method, host, target, id string, body []byte, header http.Header) (reply, error) {
	return w.callOn(nil, node, method, host, target, id, body, header)
}

// callOn is call for a caller that may have a client.
func (w *soakWorld) callOn(client *http.Client, node *soakNode, method, host, target, id string, body []byte, header http.Header) (reply, error) {
	process, _ := node.process()
	header = header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Pathtally-Deadline-Ms", fmt.Sprint(callTime.Milliseconds()))
	return call{
		client: client, address: process.http, method: method, host: host, target: target, id: id, body: body, header: header, limit: callTime + time.Second,
	}.do()
}

// callers send live requests to all nodes. Every other one keeps its connections
// open and uses them until the process is gone.
func (w *soakWorld) callers(number int) {
	from := newDraws(w.seed, streamCallers+uint64(number))
	var client *http.Client
	if number%2 == 1 {
		client = &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: callTime + time.Second}
		defer client.CloseIdleConnections()
	}
	for count := 0; w.pause(callPause); count++ {
		node := w.nodeAt(from)
		id := fmt.Sprintf("call.%d.%d", number, count)
		switch from.chance(4) {
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
func (w *soakWorld) recordEnd(request *soakRequest, answer reply, err error) {
	w.record.mutex.Lock()
	defer w.record.mutex.Unlock()
	request.status, request.failed = answer.status, err != nil
	if err == nil && answer.status == http.StatusOK {
		w.record.served++
	}
}

func (w *soakWorld) callOnce(client *http.Client, node *soakNode, request *soakRequest) {
	w.record.sent(request)
	answer, err := w.callOn(client, node, http.MethodPost, liveHost, request.target, request.id, []byte(request.body), nil)
	w.recordEnd(request, answer, err)
	if err == nil && answer.status == http.StatusOK && answer.body != "answer to "+request.id+": "+request.body {
		w.record.fail("MIXED", "request %s got %q", request.id, answer.body)
	}
}

func (w *soakWorld) callStream(client *http.Client, node *soakNode, request *soakRequest) {
	w.record.sent(request)
	prompt := http.Header{"Pathtally-Model": {draftModel}, "Pathtally-Token-Usage": {"10,10"}, "Pathtally-Prefix-Hash": {"ab:5," + fmt.Sprintf("%x", len(request.id)) + ":5"}}
	answer, err := w.callOn(client, node, http.MethodPost, liveHost, request.target, request.id, []byte(request.body), prompt)
	w.recordEnd(request, answer, err)
	if err == nil && answer.status == http.StatusOK && streamText(answer.body) != replica.Text(request.id) {
		w.record.fail("ORDER", "stream %s looks complete with %q", request.id, streamText(answer.body))
	}
}

// trainer asks for one step after the other.
func (w *soakWorld) trainer(number int) {
	for step := 0; w.pause(0); step++ {
		job := drawJob(w.seed, number, step)
		w.record.mutex.Lock()
		w.record.jobs = append(w.record.jobs, job)
		w.record.mutex.Unlock()
		job.least = max(1, w.newestWeights()-1)
		if w.submit(job, int64(step)) {
			w.follow(job)
			w.endJob(job)
		}
		if number == firstTrainer {
			w.renewWeights()
		}
	}
}

func (w *soakWorld) newestWeights() int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.weights
}

// renewWeights names the next version of the model's weights.
func (w *soakWorld) renewWeights() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.weights++
	w.store.Write("versions", draftModel, map[string]any{"model": draftModel, "version": w.weights})
}

// submit hands a job in until it is taken, and gives up after a while.
func (w *soakWorld) submit(job *soakJob, step int64) bool {
	var requests []map[string]any
	for number := range job.items {
		item := draftItem(job.id, number)
		requests = append(requests, item)
		id := item["id"].(string)
		w.record.sent(&soakRequest{id: id, target: item["path"].(string), body: string(item["body"].([]byte))})
		w.record.sent(&soakRequest{id: "score." + id, target: "/score/" + id, body: "text"})
	}
	body, err := json.Marshal(map[string]any{"step": step, "model": draftModel, "minVersion": job.least, "desired": job.items / 4, "requests": requests})
	if err != nil {
		w.record.fail("TEST", "%v", err)
		return false
	}
	promised := true
	for end := time.Now().Add(stepTime); time.Now().Before(end); {
		node := w.nodeAt(job.draws)
		answer, err := w.call(node, http.MethodPost, draftHost, "/drafts/"+job.id, job.id, body, nil)
		if err == nil && answer.status == http.StatusAccepted {
			w.record.mutex.Lock()
			job.accepted = time.Now()
			w.record.mutex.Unlock()
			return true
		}
		promised = promised && err == nil && isPromise(answer.status)
		if !w.pause(100 * time.Millisecond) {
			break
		}
	}
	w.record.mutex.Lock()
	job.refused = promised
	w.record.mutex.Unlock()
	return false
}

// page reads results of a job at a node and judges them.
func (w *soakWorld) page(node *soakNode, job *soakJob, from int) (reply, error) {
	known := w.record.known(job)
	answer, err := w.call(node, http.MethodGet, draftHost, fmt.Sprintf("/-/lots/%s?sinceRev=%d", job.id, from), "reader", nil,
		http.Header{"Pathtally-Wait-Ms": {"300"}})
	if err == nil && (answer.status == http.StatusNotFound || answer.status == http.StatusGone) {
		w.record.fail("LOST", "job %s was accepted and %s answers %d", job.id, node.name, answer.status)
	}
	if err != nil || answer.status != http.StatusOK {
		return answer, err
	}
	var page struct {
		Total     int
		NextToken int
		Results   []listed
	}
	if err := json.Unmarshal([]byte(answer.body), &page); err != nil || page.Total != job.items || page.NextToken != from+len(page.Results) {
		w.record.fail("MIXED", "job %s read at %s: total %d, next %d from %d with %d, %v", job.id, node.name, page.Total, page.NextToken, from, len(page.Results), err)
		return answer, err
	}
	w.record.checkPage(job, from, known, page.Results, node.name)
	return answer, nil
}

// follow reads a job's results, now and then from an earlier position, until its
// trainer ends it.
func (w *soakWorld) follow(job *soakJob) {
	if job.ending.waits() {
		w.awaitEnding(job)
		return
	}
	began := time.Now()
	for time.Since(began) < stepTime {
		known := w.record.known(job)
		if known >= int(wantedShare*float64(job.items)) {
			w.record.addStep()
			return
		}
		if job.ending.kind == endAtTime && time.Since(began) >= job.ending.after {
			return
		}
		from := known
		if known > 0 && job.draws.chance(4) == 0 {
			from = job.draws.chance(known)
		}
		w.page(w.nodeAt(job.draws), job, from)
		if !w.pause(60 * time.Millisecond) {
			return
		}
	}
}

const (
	// longestAwait is for how long a job waits for what it is to be ended at, and
	// awaitPollInterval the time between checks.
	longestAwait      = 12 * time.Second
	awaitPollInterval = 10 * time.Millisecond
)

// awaitEnding waits for the moment that a job is to be ended at. It reads nothing
// itself, since a read may take longer than the moment lasts.
func (w *soakWorld) awaitEnding(job *soakJob) {
	restarts, began := w.restarts.Load(), time.Now()
	for !w.isMet(job, restarts) {
		if time.Since(began) > longestAwait || w.record.known(job) == job.items || !w.pause(awaitPollInterval) {
			return
		}
	}
	w.record.addMet(job.ending.kind)
	w.pause(job.ending.after)
}

// isMet tells whether what a job's end waits for has come, where so many node
// processes had ended before.
func (w *soakWorld) isMet(job *soakJob, restarts int64) bool {
	switch job.ending.kind {
	case endAtRestart:
		return w.restarts.Load() > restarts
	case endInAppend:
		return w.slow.isOn(jobstore.KindResults, "create", job.id)
	case endInReading:
		return w.slow.isOn(jobstore.KindPayloads, "get", job.id)
	}
	return false
}

// endJob ends a job, some at two nodes at once and some again later.
func (w *soakWorld) endJob(job *soakJob) {
	var ends sync.WaitGroup
	if job.ending.together {
		ends.Go(func() { w.endOnce(job) })
	}
	w.endOnce(job)
	ends.Wait()
	if job.ending.again && w.pause(job.draws.span(0, time.Second)) {
		w.endOnce(job)
	}
}

// endOnce ends a job until that is acknowledged, but not for ever.
func (w *soakWorld) endOnce(job *soakJob) {
	for end := time.Now().Add(stepTime); time.Now().Before(end); {
		answer, err := w.call(w.nodeAt(job.draws), http.MethodDelete, draftHost, "/-/lots/"+job.id, "end", nil, nil)
		if err == nil && answer.status == http.StatusOK {
			w.record.recordJobEnd(job)
			return
		}
		if !w.pause(100 * time.Millisecond) {
			return
		}
	}
}

const (
	soakReaders = 10
	readerPause = 40 * time.Millisecond
	// recentJobs is how many of the newest jobs most reads are for.
	recentJobs = 8
)

// reader reads jobs that are open or have ended at any node: the newest, and now
// and then any, from where the results end or from an earlier position.
func (w *soakWorld) reader(number int) {
	from := newDraws(w.seed, streamReaders+uint64(number))
	for w.pause(readerPause) {
		jobs := w.record.accepted()
		if len(jobs) == 0 {
			continue
		}
		if from.chance(4) > 0 {
			jobs = jobs[max(0, len(jobs)-recentJobs):]
		}
		job := jobs[from.chance(len(jobs))]
		position := w.record.known(job)
		if position > 0 && from.chance(2) == 0 {
			position = max(0, position-1-from.chance(3))
		}
		w.page(w.nodeAt(from), job, position)
	}
}

// replicaHeartbeats keeps the entries of engines current.
func (w *soakWorld) replicaHeartbeats() {
	told := map[string]int64{}
	for w.pause(200 * time.Millisecond) {
		for _, engine := range w.ofService("engines") {
			if version := engine.server.Version(); told[engine.id] != version {
				told[engine.id] = version
				w.refresh(engine)
			}
		}
	}
}

// refresh writes a living replica's entry again.
func (w *soakWorld) refresh(living *soakReplica) {
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
func (w *soakWorld) versionProber(node *soakNode) {
	seenLife, seenVersion := 0, 0
	for count := 0; w.pause(100 * time.Millisecond); count++ {
		_, life := node.process()
		if life != seenLife {
			seenLife, seenVersion = life, 0
		}
		newest, _ := w.newestVersion()
		asked := max(seenVersion, newest-1)
		if count%2 == 0 {
			asked = newest
		}
		request := &soakRequest{id: fmt.Sprintf("probe.%s.%d", node.name, count), target: versionPath(asked) + "x", body: "probe"}
		w.record.sent(request)
		answer, err := w.call(node, http.MethodPost, liveHost, request.target, request.id, []byte(request.body), nil)
		w.recordEnd(request, answer, err)
		_, lifeAfter := node.process()
		newestAfter, _ := w.newestVersion()
		switch {
		case err != nil || lifeAfter != life:
		case answer.status == http.StatusOK:
			seenVersion = max(seenVersion, asked)
		case answer.status == http.StatusNotFound && seenVersion >= asked && newestAfter <= asked+1:
			w.record.fail("CONFIG", "%s knew version %d and answers 404 on the route of version %d", node.name, seenVersion, asked)
		}
	}
}
