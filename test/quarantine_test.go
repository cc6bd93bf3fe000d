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
	endsAllowed = 3
	// spreadTime is within which all nodes are to know of the third end.
	spreadTime = 2 * time.Second
	// successorAfter is how long after the end of a replica its successor is there.
	successorAfter = 300 * time.Millisecond
	supervisePause = 20 * time.Millisecond
)

// crashWorld is a deployment whose replicas end under a request, each with a successor
// soon after.
type crashWorld struct {
	*platformDeployment
	mutex sync.Mutex
	ended int
	done  chan struct{}
}

func deployCrashing(t *testing.T, shaped shape) *crashWorld {
	t.Helper()
	shaped.crashOn = crashingText
	world := &crashWorld{platformDeployment: deployPlatform(t, shaped), done: make(chan struct{})}
	var services sync.WaitGroup
	for _, service := range []struct {
		name     string
		replicas []*replica.Server
		config   replica.Config
	}{
		{"engines", world.engines, replica.Config{Slots: 8, Model: draftModel, LoadTime: 100 * time.Millisecond, CrashOn: crashingText, CrashAfter: crashAfter}},
		{"apps", world.apps, replica.Config{Slots: 16, Work: time.Millisecond, CrashOn: crashingText, CrashAfter: crashAfter}},
	} {
		for number, started := range service.replicas {
			id := fmt.Sprintf("%s-%d", service.name[:len(service.name)-1], number)
			services.Go(func() { world.supervise(service.name, id, number, service.config, started) })
		}
	}
	t.Cleanup(func() {
		close(world.done)
		services.Wait()
	})
	return world
}

// supervise replaces a replica whenever it has ended, under a new id.
func (w *crashWorld) supervise(service, id string, number int, config replica.Config, running *replica.Server) {
	for life := 1; ; {
		select {
		case <-w.done:
			running.Close()
			return
		case <-time.After(supervisePause):
		}
		if !running.Ended() {
			continue
		}
		w.mutex.Lock()
		w.ended++
		w.mutex.Unlock()
		time.Sleep(successorAfter)
		w.store.Remove("servers", id)
		id = fmt.Sprintf("%s-%d-life-%d", service, number, life)
		life++
		config.ID = id
		successor, err := replica.Start(config)
		if err != nil {
			w.t.Errorf("no successor of a replica: %v", err)
			return
		}
		running = successor
		w.store.Write("servers", id, running.Entry(service, w.zoneOf(number)))
	}
}

// endedReplicas counts the replicas that have ended so far.
func (w *crashWorld) endedReplicas() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ended
}

// awaitSuccessors waits until no replica is about to be replaced.
func (w *crashWorld) awaitSuccessors() {
	time.Sleep(successorAfter + 10*supervisePause)
}

// sendAgain sends the request that crashes replicas a number of times, each under a new
// id and through the next node, and returns the last answer.
func (w *crashWorld) sendAgain(prefix, target string, times int) reply {
	w.t.Helper()
	var last reply
	for try := range times {
		node := w.nodes[try%len(w.nodes)]
		answer, err := w.send(node, http.MethodPost, liveHost, target, fmt.Sprintf("%s-%d", prefix, try), []byte(crashingText),
			http.Header{"Pathtally-Deadline-Ms": {"3000"}, "Pathtally-Model": {draftModel}})
		if err == nil {
			last = answer
		}
		w.awaitSuccessors()
	}
	return last
}

// checkServed checks that other requests for a target are served.
func (w *crashWorld) checkServed(target string) {
	w.t.Helper()
	for number, node := range w.nodes {
		id := fmt.Sprint("good-", number)
		answer, err := w.send(node, http.MethodPost, liveHost, target, id, []byte("good body of "+id), http.Header{"Pathtally-Model": {draftModel}})
		if err != nil || answer.status != http.StatusOK {
			w.t.Errorf("another request gets %d, error %v", answer.status, err)
		}
	}
}

// checkRefused checks that an answer refuses a request and says when to come back.
func (w *crashWorld) checkRefused(answer reply) {
	w.t.Helper()
	wait, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64)
	if answer.status != http.StatusServiceUnavailable || err != nil || wait <= 0 {
		w.t.Errorf("the request gets %d, to come back after %q", answer.status, answer.header.Get("Retry-After"))
	}
}

func TestARequestThatCrashesReplicasIsKeptFromFurtherOnes(t *testing.T) {
	for _, kind := range []struct{ name, target string }{
		{"safe", "/live/pay"}, {"unsafe", "/once/pay"}, {"resumable stream", "/chat/say"}, {"other stream", "/chat-once/say"},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			world := deployCrashing(t, shape{nodes: 3, engines: 4, apps: 4, eventInterval: time.Millisecond})
			world.sendAgain("early", kind.target, endsAllowed)
			time.Sleep(spreadTime)
			if ended := world.endedReplicas(); ended < endsAllowed {
				t.Fatalf("%d replicas have ended, the test needs %d", ended, endsAllowed)
			}
			before := world.endedReplicas()
			world.checkRefused(world.sendAgain("late", kind.target, 2*len(world.nodes)))
			if ended := world.endedReplicas(); ended > before {
				t.Errorf("%d more replicas ended under a request that had ended %d", ended-before, before)
			}
			if before > endsAllowed {
				t.Errorf("%d replicas ended under a request, at most %d may", before, endsAllowed)
			}
			world.checkServed(kind.target)
		})
	}
}

// A popular request is always under way at every replica, so that each end cuts off some
// of its runs, which say nothing against it.
func TestAPopularRequestBesideOneThatCrashesReplicasIsServed(t *testing.T) {
	t.Parallel()
	world := deployCrashing(t, shape{nodes: 3, apps: 4})
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
				node := world.nodes[(number+try)%len(world.nodes)]
				// Those that meet an end may fail; what counts is that they are served after.
				_, _ = world.send(node, http.MethodPost, liveHost, "/live/popular", fmt.Sprintf("popular-%d-%d", number, try), []byte("popular"), nil)
			}
		})
	}
	world.sendAgain("bad", "/live/pay", 2*endsAllowed)
	close(stop)
	callers.Wait()
	for number, node := range world.nodes {
		answer, err := world.send(node, http.MethodPost, liveHost, "/live/popular", fmt.Sprint("after-", number), []byte("popular"), nil)
		if err != nil || answer.status != http.StatusOK {
			t.Errorf("the popular request gets %d, error %v", answer.status, err)
		}
	}
	if ended := world.endedReplicas(); ended != endsAllowed {
		t.Errorf("%d replicas ended under the other request, want %d", ended, endsAllowed)
	}
}

// All nodes are started anew after the third end: what they knew lives on in the store.
func TestNodesThatStartAnewKnowWhatCrashesReplicas(t *testing.T) {
	t.Parallel()
	world := deployCrashing(t, shape{nodes: 2, apps: 4})
	world.sendAgain("early", "/live/pay", endsAllowed)
	time.Sleep(spreadTime)
	before := world.endedReplicas()
	for _, node := range world.nodes {
		node.signal(syscall.SIGKILL)
	}
	world.nodes = nil
	for number := range 2 {
		world.startNode(number)
	}
	for _, node := range world.nodes {
		world.waitReady(node)
	}
	world.checkRefused(world.sendAgain("late", "/live/pay", 2*len(world.nodes)))
	if ended := world.endedReplicas(); ended > before {
		t.Errorf("%d more replicas ended after the nodes had been started anew", ended-before)
	}
}

// crashingJob is a batch job of which one item, or one scorer's call, ends whoever runs it.
func crashingJob(t *testing.T, job string, items int, spoil func(item map[string]any)) []byte {
	t.Helper()
	var requests []map[string]any
	for number := range items {
		requests = append(requests, draftItem(job, number))
	}
	spoil(requests[0])
	body, err := json.Marshal(map[string]any{"step": 0, "model": draftModel, "minVersion": 1, "desired": items / 4, "requests": requests})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// The item of a batch job, and the call of its scorer, are repeated by the node that runs
// the job, and by the next one after a takeover.
func TestAnItemThatCrashesReplicasIsKeptFromFurtherOnes(t *testing.T) {
	for _, kind := range []struct {
		name  string
		spoil func(item map[string]any)
	}{
		{"item", func(item map[string]any) { item["body"] = []byte(crashingText) }},
		{"scorer's call", func(item map[string]any) { item["scorer"].(map[string]any)["body"] = []byte(crashingText) }},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			const items = 8
			world := deployCrashing(t, shape{nodes: 3, engines: 5, apps: 5, eventInterval: time.Millisecond})
			body := crashingJob(t, "job", items, kind.spoil)
			world.eventually("the batch job is taken", func() bool {
				answer, err := world.send(world.nodes[0], http.MethodPost, draftHost, "/drafts/job", "job", body, nil)
				return err == nil && answer.status == http.StatusAccepted
			})
			world.awaitListed("job", items-1)
			time.Sleep(spreadTime)
			if ended := world.endedReplicas(); ended != endsAllowed {
				t.Errorf("%d replicas ended under one item, want %d", ended, endsAllowed)
			}
			owner := world.ownerOf("job")
			owner.signal(syscall.SIGKILL)
			time.Sleep(2 * spreadTime)
			if ended := world.endedReplicas(); ended > endsAllowed {
				t.Errorf("%d replicas ended under one item once its job was taken over", ended)
			}
		})
	}
}

// awaitListed waits until a job has a number of results.
func (w *crashWorld) awaitListed(job string, wanted int) {
	w.t.Helper()
	w.eventually(fmt.Sprintf("%d items are listed", wanted), func() bool {
		answer, err := w.send(w.nodes[1], http.MethodGet, draftHost, "/-/lots/"+job+"?sinceRev=0", "reader", nil, nil)
		var page struct{ NextToken int }
		return err == nil && answer.status == http.StatusOK && json.Unmarshal([]byte(answer.body), &page) == nil && page.NextToken >= wanted
	})
}

// ownerOf is the node that runs a job.
func (w *crashWorld) ownerOf(job string) *platformNode {
	w.t.Helper()
	for _, node := range w.nodes {
		if node.find("batch job started", `"request":"`+job+`"`) != nil {
			return node
		}
	}
	w.t.Fatalf("no node runs job %s", job)
	return nil
}
