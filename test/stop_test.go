package test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
	"github.com/pathtally/pathtally/standin/replica"
)

// lateInterval is the time between two requests to a node that stops.
const lateInterval = 100 * time.Millisecond

// sendUntilStopped sends a request every lateInterval, on new connections, until the node has ended.
// It returns the responses by request id, without those of requests that got none.
func (d *platformDeployment) sendUntilStopped(node *platformNode, target string) map[string]callerResponse {
	var requests sync.WaitGroup
	var mutex sync.Mutex
	responses := map[string]callerResponse{}
	for number := 0; ; number++ {
		select {
		case <-node.exited:
			requests.Wait()
			return responses
		case <-time.After(lateInterval):
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			id := fmt.Sprintf("late.%d", number)
			response, err := d.send(node, http.MethodPost, liveHost, target, id, []byte("x"), nil)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			responses[id] = response
		}()
	}
}

// signalUntilStopped sends a signal at an interval until the process has ended.
func (p *program) signalUntilStopped(signal syscall.Signal, interval time.Duration) {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(interval):
			// The process may end meanwhile.
			_ = p.command.Process.Signal(signal)
		}
	}
}

// Guards against requests that a stopping node passes on and then ends without an answer.
func TestStoppingNodeAnswersWhatItPassesOn(t *testing.T) {
	for _, test := range []struct {
		name, target string
		serviceTime  time.Duration
	}{
		{"unsafe", "/once/x", 1500 * time.Millisecond},
		{"safe", "/live/x", 1500 * time.Millisecond},
		{"longer than the grace period", "/once/x", 20 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 4, eventInterval: time.Millisecond, appServiceTime: test.serviceTime})
			d.nodes[0].signal(syscall.SIGTERM)
			checkPassedOn(t, d.apps, d.sendUntilStopped(d.nodes[0], test.target))
		})
	}
}

// Guards against requests that are cut because SIGTERM is repeated during a planned stop.
func TestRepeatedStopSignalCutsNoRequests(t *testing.T) {
	t.Parallel()
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 4, eventInterval: time.Millisecond, appServiceTime: 1500 * time.Millisecond})
	d.nodes[0].signal(syscall.SIGTERM)
	go d.nodes[0].signalUntilStopped(syscall.SIGTERM, 300*time.Millisecond)
	checkPassedOn(t, d.apps, d.sendUntilStopped(d.nodes[0], "/once/x"))
}

// Guards against a node that can't be stopped at once from its terminal.
func TestInterruptEndsPlannedStop(t *testing.T) {
	t.Parallel()
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 1, eventInterval: time.Millisecond, appServiceTime: 20 * time.Second})
	responses := make(chan error, 1)
	go func() {
		_, err := d.send(d.nodes[0], http.MethodPost, liveHost, "/once/x", "cut", []byte("x"), nil)
		responses <- err
	}()
	d.eventually("the request to run", func() bool { return len(d.apps[0].Runs()) == 1 })
	d.nodes[0].signal(syscall.SIGTERM)
	d.eventually("the planned stop to begin", func() bool { return d.nodes[0].find("planned stop begun") != nil })
	d.nodes[0].signal(syscall.SIGINT)
	<-d.nodes[0].exited
	if err := <-responses; err == nil {
		t.Error("the request got a response, want a closed connection")
	}
	if d.nodes[0].find("planned stop ended") != nil {
		t.Error("the planned stop went on to its end")
	}
}

// Guards against calls about batch jobs whose connection a stopping node closes without a response,
// because the store does not answer.
func TestStoppingNodeAnswersJobCallsOfSilentStore(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		t.Run(fmt.Sprintf("of %d nodes", nodes), func(t *testing.T) {
			t.Parallel()
			d := deployPlatform(t, deploymentSpec{nodes: nodes, engines: 1, apps: 1, eventInterval: 5 * time.Second})
			d.submit(d.nodes[0], "open", 4, 1)
			d.store.SetDelay(func(call metastore.Call) metastore.Delay {
				if call.Verb == "create" || call.Verb == "status" {
					return metastore.Delay{Before: silentTime}
				}
				return metastore.Delay{}
			})
			d.nodes[0].signal(syscall.SIGTERM)
			header := http.Header{"Pathtally-Deadline-Ms": {"15000"}}
			var calls sync.WaitGroup
			for number := range jobCalls {
				calls.Go(func() {
					id := fmt.Sprintf("late-%d", number)
					response, err := d.send(d.nodes[0], http.MethodPost, draftHost, "/drafts/"+id, id, d.payload(id, 4, 1), header)
					if err != nil || response.status != http.StatusGatewayTimeout {
						t.Errorf("submission %s: status %d, error %v, want 504", id, response.status, err)
					}
				})
				calls.Go(func() {
					response, err := d.send(d.nodes[0], http.MethodDelete, draftHost, "/-/lots/open", "end", nil, header)
					if err != nil || response.status != http.StatusGatewayTimeout {
						t.Errorf("end %d: status %d, error %v, want 504", number, response.status, err)
					}
				})
				time.Sleep(lateInterval)
			}
			calls.Wait()
			<-d.nodes[0].exited
			if d.nodes[0].find("planned stop closed connections") != nil {
				t.Error("the node closed connections of requests in progress")
			}
		})
	}
}

// jobCalls is the number of submissions, and of ends, that are sent while a node may take them all.
// silentTime is how long the store takes for a write then, which is beyond the grace period.
const (
	jobCalls   = 10
	silentTime = 9 * time.Second
)

// checkPassedOn checks that each request that ran at one of the replicas has a response, and none
// that says it has not run.
func checkPassedOn(t *testing.T, replicas []*replica.Server, responses map[string]callerResponse) {
	t.Helper()
	ran := 0
	for _, server := range replicas {
		for _, run := range server.Runs() {
			ran++
			response, answered := responses[run.ID]
			if !answered {
				t.Errorf("request %s ran and got no answer", run.ID)
			}
			if response.status == http.StatusServiceUnavailable {
				t.Errorf("request %s ran and got status 503", run.ID)
			}
		}
	}
	if ran == 0 || len(responses) == 0 {
		t.Errorf("%d requests ran, %d were answered, so the test proves nothing", ran, len(responses))
	}
	t.Logf("%d requests ran, %d were answered", ran, len(responses))
}

// Guards against telling callers that a stream has not run which waits for its first event when the
// grace period ends.
func TestStoppingNodeDoesNotRefuseStreamsThatRun(t *testing.T) {
	for _, test := range []struct {
		name, target string
		reloads      bool
	}{
		{"must not run twice", "/chat-once/x", false},
		{"resumable", "/chat/x", false},
		{"beside reloads", "/chat-once/x", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 4, eventInterval: 20 * time.Second})
			d.nodes[0].signal(syscall.SIGTERM)
			if test.reloads {
				go d.nodes[0].signalUntilStopped(syscall.SIGHUP, time.Second)
			}
			checkPassedOn(t, d.engines, d.sendUntilStopped(d.nodes[0], test.target))
		})
	}
}
