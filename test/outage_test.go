package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// Guards against a frequent request that is refused for the time of a quarantine after all replicas
// of its service were lost at once, for example with their rack.
func TestFrequentRequestIsServedAfterOutageOfItsService(t *testing.T) {
	t.Parallel()
	const apps = 4
	d := deployPlatform(t, deploymentSpec{nodes: 3, apps: apps, appServiceTime: 200 * time.Millisecond})
	send := func(node *platformNode, id string) (callerResponse, error) {
		return d.send(node, http.MethodPost, liveHost, "/live/popular", id, []byte("popular"), nil)
	}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for number := range 12 {
		callers.Go(func() {
			for try := 0; ; try++ {
				select {
				case <-stop:
					return
				default:
				}
				// Requests cut off by the outage may fail; the test checks those sent afterwards.
				_, _ = send(d.nodes[(number+try)%len(d.nodes)], fmt.Sprintf("popular-%d-%d", number, try))
			}
		})
	}
	time.Sleep(time.Second)
	for number, app := range d.apps {
		app.Close()
		d.store.Remove("servers", fmt.Sprint("app-", number))
	}
	time.Sleep(replacementDelay)
	for number := range apps {
		started, err := replica.Start(replica.Config{ID: fmt.Sprint("new-app-", number), Slots: 16})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(started.Close)
		d.store.Write("servers", fmt.Sprint("new-app-", number), started.Entry("apps", d.zone(number)))
	}
	time.Sleep(propagationTime)
	close(stop)
	callers.Wait()
	for number, node := range d.nodes {
		response, err := send(node, fmt.Sprint("after-", number))
		if err != nil || response.status != http.StatusOK {
			t.Errorf("frequent request after the outage: status %d, Retry-After %q, error %v", response.status, response.header.Get("Retry-After"), err)
		}
	}
}
