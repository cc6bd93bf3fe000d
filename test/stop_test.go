package test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
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
			responses := d.sendUntilStopped(d.nodes[0], test.target)
			ran := 0
			for _, app := range d.apps {
				for _, run := range app.Runs() {
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
		})
	}
}
