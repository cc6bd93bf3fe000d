package test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/loadgen"
	"github.com/pathtally/pathtally/internal/standalone/standin/trainer"
)

func (d *standaloneDeployment) runTrainer(steps string) trainer.Counts {
	d.t.Helper()
	p := start(d.t, 1, "pathtally-standin", "trainer", "-name", "trainer", "-model", "m", "-nodes", strings.Join(d.addresses(), ","),
		"-platform", d.platform.address(0), "-steps", steps, "-train-time", "200ms", "-max-tokens", "120")
	var counts trainer.Counts
	if err := json.Unmarshal([]byte(p.lines[0]), &counts); err != nil {
		d.t.Fatal(err)
	}
	return counts
}

func checkTrainerCounts(t *testing.T, counts trainer.Counts, steps int) {
	t.Helper()
	if counts.Steps != steps || counts.Delivered != steps*32 || counts.Duplicate+counts.Lost+counts.Stale+counts.Unversioned+counts.Wrong > 0 {
		t.Errorf("counts at the trainer: %+v", counts)
	}
}

func TestStandaloneEndToEnd(t *testing.T) {
	d := deployStandalone(t)
	stop := d.startLoad(30, 0.3, d.addresses)
	checkTrainerCounts(t, d.runTrainer("3"), 3)
	generator := stop()
	counts := generator.Counts()
	if counts.Answered == 0 || counts.Wrong+counts.Truncated+counts.Unreachable > 0 {
		t.Errorf("outcomes at callers: %+v", counts)
	}
	d.checkRuns(generator)
	if output := d.pathtally(0, "status", "-node-address", d.nodes[0].http); !strings.Contains(output, "node-2") {
		t.Errorf("status does not list every node: %s", output)
	}
	d.pathtally(0, "get", "Engine", "engine-1", "-platform", d.platform.address(0), "-o", "yaml")
	d.pathtally(1, "get", "Engine", "none", "-platform", d.platform.address(0))
	d.pathtally(2, "get", "Nonsense", "-platform", d.platform.address(0))
	d.pathtally(0, "diff", "-f", d.folder, "-platform", d.platform.address(0))
	d.pathtally(1, "node", "-node", "n", "-zone", "z", "-region", "r", "-peer", d.nodes[0].peer, "-http", "127.0.0.1:0", "-platform", d.platform.address(0))
}

func TestConcurrentAppliesReportConflicts(t *testing.T) {
	d := deployStandalone(t)
	platform := d.platform.address(0)
	type applyResult struct {
		output string
		code   int
	}
	conflicts := 0
	for round := range 6 {
		results := make(chan applyResult, 2)
		for writer := range 2 {
			folder := t.TempDir()
			object := "apiVersion: pathtally.dev/v1\nkind: Limit\nmetadata: {name: shared}\nspec: {groups: urgency=live, maxQueue: " + string(rune('1'+round)) + string(rune('1'+writer)) + "}\n"
			data, err := os.ReadFile(filepath.Join(d.folder, "objects.yaml"))
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(folder, "o.yaml"), []byte(string(data)+"---\n"+object), 0o644); err != nil {
				t.Fatal(err)
			}
			go func() {
				output, code := runCommand("apply", "-f", folder, "-platform", platform)
				results <- applyResult{output, code}
			}()
		}
		for range 2 {
			switch e := <-results; e.code {
			case 0:
			case 3:
				conflicts++
				if !strings.Contains(e.output, "Limit/shared") {
					t.Errorf("conflict message does not name the changed object: %s", e.output)
				}
			default:
				t.Errorf("apply: exit code %d, want 0 or 3: %s", e.code, e.output)
			}
		}
	}
	t.Logf("%d of 6 rounds had a conflict", conflicts)
}

func TestApplySucceedsAfterLostResponse(t *testing.T) {
	d := deployStandalone(t)
	platform := d.platform.address(0)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + platform + "/switches")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyString(`{"loseAnswers": 1}`)
	if err := fasthttp.Do(request, response); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(d.folder, "objects.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(data), "priority: 80", "priority: 81", 1)
	if err := os.WriteFile(filepath.Join(d.folder, "objects.yaml"), []byte(changed), 0o644); err != nil {
		t.Fatal(err)
	}
	d.pathtally(0, "apply", "-f", d.folder, "-platform", platform, "-wait", "-node-address", d.nodes[0].http)
	output := d.pathtally(0, "get", "TrafficGroup", "live", "-platform", platform, "-o", "yaml")
	if !strings.Contains(output, "priority: 81") {
		t.Errorf("priority was not changed: %s", output)
	}
}

func TestGracefulShutdownUnderLoad(t *testing.T) {
	d := deployStandalone(t)
	stop := d.startLoad(60, 0.2, func() []string { return d.addresses()[1:] })
	onlyStopped := d.startLoad(90, 0.2, func() []string { return d.addresses()[:1] })
	time.Sleep(time.Second)
	d.nodes[0].signal(15)
	<-d.nodes[0].exited
	stopped, others := onlyStopped(), stop()
	for _, generator := range []*loadgen.Generator{stopped, others} {
		counts := generator.Counts()
		if counts.Wrong+counts.Truncated > 0 || counts.Answered == 0 {
			t.Errorf("outcomes at callers: %+v, error codes %v", counts, generator.Codes())
		}
		if int64(counts.Unknown) > generator.Codes()["still_running"] {
			t.Errorf("requests have an unknown outcome other than still_running: %v", generator.Codes())
		}
		d.checkRuns(generator)
	}
	if unknown := stopped.Codes()["engine_failed"]; unknown > 0 {
		t.Errorf("%d requests failed at the node that shut down", unknown)
	}
}

// Every node must serve new objects as soon as apply -wait has returned.
func TestApplyWaitMeansServing(t *testing.T) {
	d := deployStandaloneUnconfigured(t)
	for number := range standaloneNodes {
		d.startNode(number)
	}
	d.pathtally(0, "apply", "-f", d.folder, "-platform", d.platform.address(0), "-wait", "-node-address", d.nodes[0].http)
	for _, node := range d.nodes {
		body := strings.NewReader(`{"model":"m","prompt":"right after","max_tokens":4}`)
		request, err := http.NewRequest(http.MethodPost, "http://"+node.http+"/v1/completions", body)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Pathtally-Group", "live")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		content, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d after apply -wait: %s", node.name, response.StatusCode, content)
		}
	}
}
