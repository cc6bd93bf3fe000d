package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// A replica ended under one request each time it began to run it. The caller sent the
// request again, under a new id and through another node, and each try took two more
// replicas with it: nothing of what a run had done to its replica outlived the try. Twenty
// replicas ended under one body within 45 s, each time with the same line at another node:
// "request not served" attempts=2 "no answer, may have run: no whole answer from
// 10.1.64.46:8126: unexpected EOF". All requests that came while the four replicas of the
// service were down were turned away.

const (
	crashingText = "ends whoever runs it"
	// crashAfter is for how long a replica runs the request before it ends.
	crashAfter = 20 * time.Millisecond
	// endsAllowed is how many replicas may end under one request.
	maxCrashes = 3
	// spreadTime is within which all nodes are to know of the third end.
	propagationTime = 2 * time.Second
	// successorAfter is how long after the end of a replica its successor is there.
	replacementDelay  = 300 * time.Millisecond
	superviseInterval = 20 * time.Millisecond
)

// crashWorld is a deployment whose replicas end under a request, each with a successor
// soon after.
type crashDeployment struct {
	*platformDeployment
	mutex   sync.Mutex
	crashes int
	done    chan struct{}
}

func deployCrashing(t *testing.T, spec deploymentSpec) *crashDeployment {
	t.Helper()
	spec.crashOn = crashingText
	d := &crashDeployment{platformDeployment: deployPlatform(t, spec), done: make(chan struct{})}
	var services sync.WaitGroup
	for _, service := range []struct {
		name     string
		replicas []*replica.Server
		config   replica.Config
	}{
		{"engines", d.engines, replica.Config{Slots: 8, Model: draftModel, LoadTime: 100 * time.Millisecond, CrashOn: crashingText, CrashAfter: crashAfter}},
		{"apps", d.apps, replica.Config{Slots: 16, Work: time.Millisecond, CrashOn: crashingText, CrashAfter: crashAfter}},
	} {
		for number, started := range service.replicas {
			id := fmt.Sprintf("%s-%d", service.name[:len(service.name)-1], number)
			services.Go(func() { d.supervise(service.name, id, number, service.config, started) })
		}
	}
	t.Cleanup(func() {
		close(d.done)
		services.Wait()
	})
	return d
}

// supervise replaces a replica whenever it has ended, under a new id.
func (d *crashDeployment) supervise(service, id string, number int, config replica.Config, running *replica.Server) {
	for incarnation := 1; ; {
		select {
		case <-d.done:
			running.Close()
			return
		case <-time.After(superviseInterval):
		}
		if !running.Ended() {
			continue
		}
		d.mutex.Lock()
		d.crashes++
		d.mutex.Unlock()
		time.Sleep(replacementDelay)
		d.store.Remove("servers", id)
		id = fmt.Sprintf("%s-%d-life-%d", service, number, incarnation)
		incarnation++
		config.ID = id
		replacement, err := replica.Start(config)
		if err != nil {
			d.t.Errorf("no successor of a replica: %v", err)
			return
		}
		running = replacement
		d.store.Write("servers", id, running.Entry(service, d.zone(number)))
	}
}

// endedReplicas counts the replicas that have ended so far.
func (d *crashDeployment) crashCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.crashes
}

// awaitSuccessors waits until no replica is about to be replaced.
func (d *crashDeployment) awaitReplacements() {
	time.Sleep(replacementDelay + 10*superviseInterval)
}

// sendAgain sends the request that crashes replicas a number of times, each under a new
// id and through the next node, and returns the last answer.
func (d *crashDeployment) sendRepeatedly(prefix, target string, times int) callerResponse {
	d.t.Helper()
	var last callerResponse
	for try := range times {
		node := d.nodes[try%len(d.nodes)]
		response, err := d.send(node, http.MethodPost, liveHost, target, fmt.Sprintf("%s-%d", prefix, try), []byte(crashingText),
			http.Header{"Pathtally-Deadline-Ms": {"3000"}, "Pathtally-Model": {draftModel}})
		if err == nil {
			last = response
		}
		d.awaitReplacements()
	}
	return last
}

// checkServed checks that other requests for a target are served.
func (d *crashDeployment) checkServed(target string) {
	d.t.Helper()
	for number, node := range d.nodes {
		id := fmt.Sprint("good-", number)
		response, err := d.send(node, http.MethodPost, liveHost, target, id, []byte("good body of "+id), http.Header{"Pathtally-Model": {draftModel}})
		if err != nil || response.status != http.StatusOK {
			d.t.Errorf("another request gets %d, error %v", response.status, err)
		}
	}
}

// checkRefused checks that an answer refuses a request and says when to come back.
func (d *crashDeployment) checkRefused(response callerResponse) {
	d.t.Helper()
	wait, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
	if response.status != http.StatusServiceUnavailable || err != nil || wait <= 0 {
		d.t.Errorf("the request gets %d, to come back after %q", response.status, response.header.Get("Retry-After"))
	}
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, kind := range []struct{ name, target string }{
		{"safe", "/live/pay"}, {"unsafe", "/once/pay"}, {"resumable stream", "/chat/say"}, {"other stream", "/chat-once/say"},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			d := deployCrashing(t, deploymentSpec{nodes: 3, engines: 4, apps: 4, eventInterval: time.Millisecond})
			d.sendRepeatedly("early", kind.target, maxCrashes)
			time.Sleep(propagationTime)
			if crashes := d.crashCount(); crashes < maxCrashes {
				t.Fatalf("%d replicas have ended, the test needs %d", crashes, maxCrashes)
			}
			before := d.crashCount()
			d.checkRefused(d.sendRepeatedly("late", kind.target, 2*len(d.nodes)))
			if crashes := d.crashCount(); crashes > before {
				t.Errorf("%d more replicas ended under a request that had ended %d", crashes-before, before)
			}
			if before > maxCrashes {
				t.Errorf("%d replicas ended under a request, at most %d may", before, maxCrashes)
			}
			d.checkServed(kind.target)
		})
	}
}

// A popular request is always under way at every replica, so that each end cuts off some
// of its runs, which say nothing against it.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	t.Parallel()
	d := deployCrashing(t, deploymentSpec{nodes: 3, apps: 4})
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for number := range 12 {
		callers.Go(func() {
			for try := 0; ; try++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
				node := d.nodes[(number+try)%len(d.nodes)]
				// Those that meet an end may fail; what counts is that they are served after.
				_, _ = d.send(node, http.MethodPost, liveHost, "/live/popular", fmt.Sprintf("popular-%d-%d", number, try), []byte("popular"), nil)
			}
		})
	}
	d.sendRepeatedly("bad", "/live/pay", 2*maxCrashes)
	close(stop)
	callers.Wait()
	for number, node := range d.nodes {
		response, err := d.send(node, http.MethodPost, liveHost, "/live/popular", fmt.Sprint("after-", number), []byte("popular"), nil)
		if err != nil || response.status != http.StatusOK {
			t.Errorf("the popular request gets %d, error %v", response.status, err)
		}
	}
	if crashes := d.crashCount(); crashes != maxCrashes {
		t.Errorf("%d replicas ended under the other request, want %d", crashes, maxCrashes)
	}
}

// All nodes are started anew after the third end: what they knew lives on in the store.
func TestQuarantineSurvivesNodeRestarts(t *testing.T) {
	t.Parallel()
	d := deployCrashing(t, deploymentSpec{nodes: 2, apps: 4})
	d.sendRepeatedly("early", "/live/pay", maxCrashes)
	time.Sleep(propagationTime)
	before := d.crashCount()
	for _, node := range d.nodes {
		node.signal(syscall.SIGKILL)
	}
	d.nodes = nil
	for number := range 2 {
		d.startNode(number)
	}
	for _, node := range d.nodes {
		d.waitReady(node)
	}
	d.checkRefused(d.sendRepeatedly("late", "/live/pay", 2*len(d.nodes)))
	if crashes := d.crashCount(); crashes > before {
		t.Errorf("%d more replicas ended after the nodes had been started anew", crashes-before)
	}
}

// crashingJob is a batch job of which one item, or one scorer's call, ends whoever runs it.
func crashingJob(t *testing.T, job string, items int, alter func(item map[string]any)) []byte {
	t.Helper()
	var requests []map[string]any
	for number := range items {
		requests = append(requests, draftItem(job, number))
	}
	alter(requests[0])
	body, err := json.Marshal(map[string]any{"step": 0, "model": draftModel, "minVersion": 1, "desired": items / 4, "requests": requests})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// The item of a batch job, and the call of its scorer, are repeated by the node that runs
// the job, and by the next one after a takeover.
func TestCrashingBatchItemIsQuarantined(t *testing.T) {
	for _, kind := range []struct {
		name  string
		alter func(item map[string]any)
	}{
		{"item", func(item map[string]any) { item["body"] = []byte(crashingText) }},
		{"scorer's call", func(item map[string]any) { item["scorer"].(map[string]any)["body"] = []byte(crashingText) }},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			const items = 8
			d := deployCrashing(t, deploymentSpec{nodes: 3, engines: 5, apps: 5, eventInterval: time.Millisecond})
			body := crashingJob(t, "job", items, kind.alter)
			d.eventually("the batch job is taken", func() bool {
				response, err := d.send(d.nodes[0], http.MethodPost, draftHost, "/drafts/job", "job", body, nil)
				return err == nil && response.status == http.StatusAccepted
			})
			d.awaitResults("job", items-1)
			time.Sleep(propagationTime)
			if crashes := d.crashCount(); crashes != maxCrashes {
				t.Errorf("%d replicas ended under one item, want %d", crashes, maxCrashes)
			}
			owner := d.jobOwner("job")
			owner.signal(syscall.SIGKILL)
			time.Sleep(2 * propagationTime)
			if crashes := d.crashCount(); crashes > maxCrashes {
				t.Errorf("%d replicas ended under one item once its job was taken over", crashes)
			}
		})
	}
}

// awaitListed waits until a job has a number of results.
func (d *crashDeployment) awaitResults(job string, count int) {
	d.t.Helper()
	d.eventually(fmt.Sprintf("%d items are listed", count), func() bool {
		response, err := d.send(d.nodes[1], http.MethodGet, draftHost, "/-/lots/"+job+"?sinceRev=0", "reader", nil, nil)
		var page struct{ NextToken int }
		return err == nil && response.status == http.StatusOK && json.Unmarshal([]byte(response.body), &page) == nil && page.NextToken >= count
	})
}

// ownerOf is the node that runs a job.
func (d *crashDeployment) jobOwner(job string) *platformNode {
	d.t.Helper()
	for _, node := range d.nodes {
		if node.find("batch job started", `"request":"`+job+`"`) != nil {
			return node
		}
	}
	d.t.Fatalf("no node runs job %s", job)
	return nil
}
