package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
	"github.com/pathtally/pathtally/standin/replica"
)

// kotukuSpec and cauceSpec have the replica counts of the users' deployments.
var (
	kotukuSpec = deploymentSpec{nodes: 3, engines: 8, apps: 3, eventInterval: 2 * time.Millisecond}
	cauceSpec  = deploymentSpec{nodes: 3, engines: 9, apps: 4, eventInterval: 2 * time.Millisecond}
)

func TestPlatformSteadyState(t *testing.T) {
	for _, test := range []struct {
		name  string
		spec  deploymentSpec
		items int
	}{{"kotuku", kotukuSpec, 100}, {"cauce", cauceSpec, 56}} {
		t.Run(test.name, func(t *testing.T) {
			d := deployPlatform(t, test.spec)
			for step := range 3 {
				job := fmt.Sprintf("job%d", step)
				minVersion := max(1, int64(step))
				if step > 0 {
					d.store.Write("versions", draftModel, map[string]any{"model": draftModel, "version": step + 1})
				}
				d.submit(d.nodes[step%3], job, test.items, minVersion)
				reader := step
				results := d.read(func() *platformNode { reader++; return d.nodes[reader%3] }, job, test.items)
				d.checkResults(results, test.items, minVersion)
				d.liveRequests(step)
				if response, err := d.send(d.nodes[0], http.MethodDelete, draftHost, "/-/lots/"+job, "end", nil, nil); err != nil || response.status != http.StatusOK {
					t.Fatalf("end batch job %s: %+v, %v", job, response, err)
				}
			}
			d.checkFencingTokens()
		})
	}
}

// liveRequests sends non-streaming requests to all nodes and checks their responses.
func (d *platformDeployment) liveRequests(step int) {
	d.t.Helper()
	for number := range 12 {
		id := fmt.Sprintf("live.%d.%d", step, number)
		response, err := d.send(d.nodes[number%len(d.nodes)], http.MethodPost, liveHost, "/live/a%2Fb?q=%20x", id, []byte("book"), nil)
		if err != nil || response.status != http.StatusOK || response.body != "answer to "+id+": book" || response.header.Get("Pathtally-Server-Stamp") == "" {
			d.t.Errorf("request %s: %+v, %v", id, response, err)
		}
	}
	for _, app := range d.apps {
		for _, run := range app.Runs() {
			if strings.HasPrefix(run.ID, "live.") && (run.Target != "/live/a%2Fb?q=%20x" || run.Method != http.MethodPost || run.Body != "book") {
				d.t.Errorf("request %s reached a replica as %s %s %q", run.ID, run.Method, run.Target, run.Body)
			}
		}
	}
}

// checkFencingTokens checks that the fencing tokens of weight orders never decrease at a
// replica and that each token belongs to one owner.
func (d *platformDeployment) checkFencingTokens() {
	d.t.Helper()
	owners := map[uint64]string{}
	for number, engine := range d.engines {
		last := uint64(0)
		for _, order := range engine.Orders() {
			if order.Token < last {
				d.t.Errorf("engine %d received fencing token %d after %d", number, order.Token, last)
			}
			last = order.Token
			if owner := owners[order.Token]; owner != "" && owner != order.Owner {
				d.t.Errorf("fencing token %d was used by %s and %s", order.Token, owner, order.Owner)
			}
			owners[order.Token] = order.Owner
		}
	}
	if len(owners) == 0 {
		d.t.Error("no weight order was sent")
	}
}

func TestBatchJobSurvivesNodeKill(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 3, engines: 2, apps: 2, eventInterval: 100 * time.Millisecond})
	d.submit(d.nodes[0], "job", 40, 1)
	d.nodes[0].kill()
	results := d.read(func() *platformNode { return d.nodes[1] }, "job", 40)
	d.checkResults(results, 40, 1)
	again := d.read(func() *platformNode { return d.nodes[2] }, "job", 40)
	for position := range results {
		if again[position].ID != results[position].ID {
			t.Fatalf("position %d differs between nodes", position)
		}
	}
}

func TestPlatformGracefulShutdown(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 2, engines: 2, apps: 2, eventInterval: 20 * time.Millisecond})
	d.submit(d.nodes[0], "job", 24, 1)
	d.nodes[0].signal(syscall.SIGTERM)
	// A node that shuts down still serves new requests and then closes their connections.
	response, err := d.send(d.nodes[0], http.MethodPost, liveHost, "/live/x", "late", []byte("x"), nil)
	if err != nil || response.status != http.StatusOK {
		t.Errorf("request to a node that shuts down: %+v, %v", response, err)
	}
	d.eventually("the node to become unready", func() bool {
		response, err := http.Get("http://" + d.nodes[0].readiness + "/-/readyz")
		if err != nil {
			return true
		}
		response.Body.Close()
		return response.StatusCode != http.StatusOK
	})
	results := d.read(func() *platformNode { return d.nodes[1] }, "job", 24)
	d.checkResults(results, 24, 1)
	<-d.nodes[0].exited
}

func TestSettingsReloadOnSIGHUP(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 1, eventInterval: time.Millisecond})
	d.writeSettings(0, "3s")
	d.nodes[0].signal(syscall.SIGHUP)
	d.eventually("the settings to be reloaded", func() bool { return d.nodes[0].find("settings reloaded", `"grace":"3s"`) != nil })
	if response, err := d.send(d.nodes[0], http.MethodPost, liveHost, "/live/x", "after", []byte("x"), nil); err != nil || response.status != http.StatusOK {
		t.Errorf("request after the reload: %+v, %v", response, err)
	}
}

func TestCorruptResponsesAreNotForwarded(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 3, apps: 2, eventInterval: time.Millisecond})
	for _, app := range d.apps {
		app.SetFaults(replica.Faults{WrongIDEvery: 3, ExtraResponseEvery: 4})
	}
	for _, engine := range d.engines {
		engine.SetFaults(replica.Faults{TruncateEvery: 3})
	}
	for number := range 60 {
		id := fmt.Sprintf("live.%d", number)
		response, err := d.send(d.nodes[0], http.MethodPost, liveHost, "/live/x", id, []byte("x"), nil)
		if err != nil {
			t.Fatalf("request %s: %v", id, err)
		}
		if response.status == http.StatusOK && response.body != "answer to "+id+": x" {
			t.Errorf("request %s received %q", id, response.body)
		}
	}
	d.submit(d.nodes[0], "job", 40, 1)
	d.checkResults(d.read(func() *platformNode { return d.nodes[0] }, "job", 40), 40, 1)
}

// checkRanOnce checks that replicas ran requests, and none more than once.
func checkRanOnce(t *testing.T, replicas []*replica.Server) {
	t.Helper()
	runs := map[string]int{}
	for _, started := range replicas {
		for _, run := range started.Runs() {
			runs[run.ID]++
		}
	}
	if len(runs) == 0 {
		t.Error("no request ran, so the check proves nothing")
	}
	for id, count := range runs {
		if count > 1 {
			t.Errorf("request %s ran %d times", id, count)
		}
	}
}

// An unsafe request must not be retried after a lost response.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 2, eventInterval: time.Millisecond})
	for _, app := range d.apps {
		app.SetFaults(replica.Faults{WrongIDEvery: 2})
	}
	for number := range 40 {
		d.send(d.nodes[0], http.MethodPost, liveHost, "/once/x", fmt.Sprintf("once.%d", number), []byte("x"), nil)
	}
	checkRanOnce(t, d.apps)
}

// The cause of a failed request must be found in the logs by its request id.
func TestFailedRequestIsLoggedAndCounted(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 1, eventInterval: time.Millisecond})
	d.apps[0].SetFaults(replica.Faults{WrongIDEvery: 1})
	failed, err := d.send(d.nodes[0], http.MethodPost, liveHost, "/once/x", "puzzle", []byte("x"), nil)
	if err != nil || failed.status != http.StatusBadGateway {
		t.Fatalf("request whose response was lost: %+v, %v", failed, err)
	}
	d.eventually("the cause of the failure in the log", func() bool {
		return d.nodes[0].find(`"request":"puzzle"`, "response belongs to another request", `"route":"once"`) != nil
	})
	failed, err = d.send(d.nodes[0], http.MethodPost, liveHost, "/nowhere/", "lost", nil, nil)
	if err != nil || failed.status != http.StatusNotFound {
		t.Fatalf("request without a route: %+v, %v", failed, err)
	}
	d.eventually("the refusal in the log", func() bool { return d.nodes[0].find(`"request":"lost"`, "no route") != nil })
	response, err := http.Get("http://" + d.nodes[0].metrics + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	metrics, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(metrics), `pathtally_forwarded_requests_total{outcome="lost"} 1`) {
		t.Errorf("metrics do not count the lost request: %v\n%s", err, metrics)
	}
}

// streamText joins the data of the server-sent events in a response body.
func streamText(body string) string {
	var parts []string
	for _, line := range strings.Split(body, "\n") {
		if data, isData := strings.CutPrefix(line, "data: "); isData {
			parts = append(parts, data)
		}
	}
	return strings.Join(parts, "\n")
}

func TestStreamsAreForwardedAndResumed(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 3, apps: 1, eventInterval: time.Millisecond})
	// One engine responds to every request with the id of another one, and the other engines
	// cut every second stream after one event. Resumption must still complete each stream.
	d.engines[0].SetFaults(replica.Faults{WrongIDEvery: 1})
	for _, engine := range d.engines[1:] {
		engine.SetFaults(replica.Faults{TruncateEvery: 2})
	}
	prompt := http.Header{"Pathtally-Model": {draftModel}, "Pathtally-Token-Usage": {"10,10"}, "Pathtally-Prefix-Hash": {"ab:5,cd:5"}}
	for number := range 40 {
		id := fmt.Sprintf("chat.%d", number)
		response, err := d.send(d.nodes[0], http.MethodPost, liveHost, "/chat/x", id, []byte("hello"), prompt)
		if err != nil || response.status != http.StatusOK || streamText(response.body) != replica.Text(id) {
			t.Errorf("stream %s: status %d, %q, %v", id, response.status, streamText(response.body), err)
		}
	}
	if len(d.engines[0].Runs()) == 0 {
		t.Error("the engine that responds with wrong ids received no request, so the test does not cover it")
	}
	// A client resumes a stream after an event.
	response, err := d.send(d.nodes[0], http.MethodPost, liveHost, "/chat/x", "again", []byte("hello"), http.Header{"Last-Event-Id": {"2"}})
	want := strings.Join(strings.Split(replica.Text("again"), "\n")[2:], "\n")
	if err != nil || streamText(response.body) != want {
		t.Errorf("resumed stream: %q, want %q, %v", streamText(response.body), want, err)
	}
}

// A non-resumable stream must not run twice, and a caller must not take a broken one for
// complete.
func TestBrokenStreamIsNotReportedComplete(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 2, apps: 1, eventInterval: time.Millisecond})
	for _, engine := range d.engines {
		engine.SetFaults(replica.Faults{TruncateEvery: 2})
	}
	broken := 0
	for number := range 20 {
		id := fmt.Sprintf("once.%d", number)
		response, err := d.send(d.nodes[0], http.MethodPost, liveHost, "/chat-once/x", id, []byte("hello"), nil)
		if err != nil {
			broken++
			continue
		}
		if response.status == http.StatusOK && streamText(response.body) != replica.Text(id) {
			t.Errorf("stream %s looks complete with %q", id, streamText(response.body))
		}
	}
	if broken == 0 {
		t.Error("no stream was cut, so the test proves nothing")
	}
	checkRanOnce(t, d.engines)
}

// A request to retire a machine must be reported as succeeded.
func TestRetirementSucceeds(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 2, engines: 1, apps: 1, eventInterval: time.Millisecond})
	d.store.Write("retirements", "storage-1", map[string]any{"durationS": 10})
	d.eventually("the retirement to succeed", func() bool {
		object, err := d.store.Get(context.Background(), "retirements", "storage-1", objectstore.Linearizable)
		return err == nil && string(object.Status) == `{"state":"succeeded"}`
	})
}

// A node that starts during a store outage must respond with 503 until it has a
// configuration, not with 404 for unknown routes and jobs.
func TestNodeWithoutConfigurationReturns503(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 1, eventInterval: time.Millisecond})
	d.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Refused })
	late := d.startNode(1)
	response, err := d.send(late, http.MethodPost, liveHost, "/live/x", "early", []byte("x"), nil)
	if err != nil || response.status != http.StatusServiceUnavailable || response.header.Get("Retry-After") == "" {
		t.Errorf("request before the first configuration: %+v, %v", response, err)
	}
	if response, err := d.send(late, http.MethodGet, draftHost, "/-/lots/unknown", "early", nil, nil); err != nil || response.status != http.StatusServiceUnavailable {
		t.Errorf("read of a job during the store outage: %+v, %v", response, err)
	}
	d.store.SetFault(nil)
	d.waitReady(late)
	if response, err := d.send(late, http.MethodGet, draftHost, "/-/lots/unknown", "sure", nil, nil); err != nil || response.status != http.StatusNotFound {
		t.Errorf("read of an unknown job: %+v, %v", response, err)
	}
}
