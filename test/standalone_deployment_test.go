package test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/loadgen"
)

const (
	standaloneEngines = 3
	standaloneNodes   = 3
)

// loadSeeds is the source of distinct seeds, so that no two loads send the same prompts.
var loadSeeds atomic.Uint64

// standaloneNode is a node process and the arguments to start it again.
type standaloneNode struct {
	*program
	name string
	args []string
	http string
	peer string
}

// standaloneDeployment is the set of processes of a standalone stack: the platform, a
// scorer, engines and nodes.
type standaloneDeployment struct {
	t        *testing.T
	platform *program
	scorer   *program
	engines  *program
	// engineProxies are between nodes and engines, platformProxy between nodes and the
	// platform.
	engineProxies []*proxy
	platformProxy *proxy
	nodes         []*standaloneNode
	folder        string
}

// deployStandalone starts a stack, applies its objects and waits until every node is ready.
func deployStandalone(t *testing.T) *standaloneDeployment {
	t.Helper()
	d := deployStandaloneUnconfigured(t)
	d.pathtally(0, "apply", "-f", d.folder, "-platform", d.platform.address(0))
	for i := range standaloneNodes {
		d.startNode(i)
	}
	for _, started := range d.nodes {
		d.waitReady(started)
	}
	return d
}

// deployStandaloneUnconfigured starts a stack without nodes and applies no objects.
func deployStandaloneUnconfigured(t *testing.T) *standaloneDeployment {
	t.Helper()
	t.Parallel()
	d := &standaloneDeployment{t: t, folder: t.TempDir()}
	d.platform = start(t, 1, "pathtally-standin", "platform", "-listen", "127.0.0.1:0")
	d.scorer = start(t, 1, "pathtally-standin", "scorer", "-listen", "127.0.0.1:0")
	d.engines = start(t, standaloneEngines, "pathtally-standin", "engine", "-listen", strings.TrimSuffix(strings.Repeat("127.0.0.1:0,", standaloneEngines), ","))
	d.platformProxy = newProxy(t, d.platform.address(0))
	for i := range standaloneEngines {
		d.engineProxies = append(d.engineProxies, newProxy(t, d.engines.address(i)))
	}
	d.writeObjects()
	return d
}

// writeObjects writes the manifest of the deployment to its folder.
func (d *standaloneDeployment) writeObjects() {
	var objects strings.Builder
	for i, engineProxy := range d.engineProxies {
		fmt.Fprintf(&objects, "apiVersion: pathtally.dev/v1\nkind: Engine\nmetadata: {name: engine-%d, labels: {kind: gpu}}\nspec: {address: \"%s\", model: m, zone: zone-%d, region: r}\n---\n", i, engineProxy.address(), i)
	}
	fmt.Fprintf(&objects, `apiVersion: pathtally.dev/v1
kind: Model
metadata: {name: m}
---
apiVersion: pathtally.dev/v1
kind: TrafficGroup
metadata: {name: live, labels: {urgency: live}}
spec: {model: m, priority: 80, deadline: 8s}
---
apiVersion: pathtally.dev/v1
kind: RoutingRule
metadata: {name: rule}
spec: {groups: urgency=live, engines: kind=gpu}
---
apiVersion: pathtally.dev/v1
kind: Trainer
metadata: {name: trainer}
spec: {model: m, engines: kind=gpu, scorer: "http://%s/score"}
`, d.scorer.address(0))
	if err := os.WriteFile(filepath.Join(d.folder, "objects.yaml"), []byte(objects.String()), 0o644); err != nil {
		d.t.Fatal(err)
	}
}

func (d *standaloneDeployment) startNode(number int) {
	d.t.Helper()
	args := []string{
		"node", "-node", fmt.Sprintf("node-%d", number), "-zone", fmt.Sprintf("zone-%d", number), "-region", "r", "-peer", "127.0.0.1:0", "-http", "127.0.0.1:0",
		"-platform", d.platformProxy.address(), "-data-folder", filepath.Join(d.t.TempDir(), "data"), "-grace", "15s",
	}
	var seeds []string
	for _, other := range d.nodes {
		seeds = append(seeds, other.peer)
	}
	if len(seeds) > 0 {
		args = append(args, "-seeds", strings.Join(seeds, ","))
	}
	added := &standaloneNode{name: fmt.Sprintf("node-%d", number), args: args}
	d.nodes = append(d.nodes, added)
	d.startProcess(added)
}

// startProcess starts a node's process, at its former addresses if it ran before.
func (d *standaloneDeployment) startProcess(n *standaloneNode) {
	d.t.Helper()
	args := n.args
	if n.http != "" {
		args = append(args, "-peer", n.peer, "-http", n.http, "-seeds", strings.Join(d.peersOf(n), ","))
	}
	n.program = start(d.t, 1, "pathtally", args...)
	if n.http == "" {
		// Loads read the addresses concurrently, so they are set only once.
		words := strings.Fields(n.lines[0])
		n.peer, n.http = words[3], words[5]
	}
}

func (d *standaloneDeployment) peersOf(except *standaloneNode) []string {
	var peers []string
	for _, other := range d.nodes {
		if other != except {
			peers = append(peers, other.peer)
		}
	}
	return peers
}

func (d *standaloneDeployment) waitReady(n *standaloneNode) {
	d.t.Helper()
	d.eventually("node "+n.name+" to become ready", func() bool {
		code, _, err := fasthttp.GetTimeout(nil, "http://"+n.http+"/readyz", time.Second)
		return err == nil && code == fasthttp.StatusOK
	})
}

func (d *standaloneDeployment) eventually(what string, check func() bool) {
	d.t.Helper()
	eventually(d.t, what, check)
}

// pathtally runs the pathtally command and checks its exit code.
func (d *standaloneDeployment) pathtally(expected int, args ...string) string {
	d.t.Helper()
	output, code := runCommand(args...)
	if code != expected {
		d.t.Fatalf("pathtally %v: exit code %d, want %d: %s", args, code, expected, output)
	}
	return output
}

func (d *standaloneDeployment) addresses() []string {
	var addresses []string
	for _, n := range d.nodes {
		addresses = append(addresses, n.http)
	}
	return addresses
}

// startLoad sends requests until the returned function is called, which waits for the
// requests in flight and returns the generator with their outcomes.
func (d *standaloneDeployment) startLoad(perSecond, unsafeShare float64, to func() []string) func() *loadgen.Generator {
	ctx, cancel := context.WithCancel(context.Background())
	generator := loadgen.New(loadgen.Config{Nodes: to, Seed: loadSeeds.Add(1000), Streams: []loadgen.Stream{{
		Group: "live", Model: "m", PerSecond: perSecond, MaxTokens: 60, Deadline: 8 * time.Second, UnsafeShare: unsafeShare, RepeatShare: 0.5,
	}}})
	done := make(chan struct{})
	go func() {
		_ = generator.Run(ctx)
		close(done)
	}()
	return func() *loadgen.Generator {
		cancel()
		<-done
		return generator
	}
}

// runCount returns how often the engines started to run a prompt, in total.
func (d *standaloneDeployment) runCount(prompt string) int {
	d.t.Helper()
	total := 0
	for i := range standaloneEngines {
		uri := fasthttp.AcquireURI()
		uri.SetScheme("http")
		uri.SetHost(d.engines.address(i))
		uri.SetPath("/runs")
		uri.QueryArgs().Set("prompt", prompt)
		_, body, err := fasthttp.GetTimeout(nil, uri.String(), time.Second)
		fasthttp.ReleaseURI(uri)
		if err != nil {
			d.t.Fatal(err)
		}
		count := 0
		fmt.Sscan(string(body), &count)
		total += count
	}
	return total
}

// checkRuns checks that no unsafe request ran twice and that no request ran that was
// refused as not run.
func (d *standaloneDeployment) checkRuns(generator *loadgen.Generator) {
	d.t.Helper()
	unsafe := generator.Unsafe()
	if len(unsafe) == 0 {
		d.t.Error("no unsafe request was sent, so the check proves nothing")
	}
	for prompt := range unsafe {
		if count := d.runCount(prompt); count > 1 {
			d.t.Errorf("unsafe request %q ran %d times", prompt, count)
		}
	}
	for _, prompt := range generator.NotRun() {
		if count := d.runCount(prompt); count > 0 {
			d.t.Errorf("request %q was refused as not run, but ran %d times", prompt, count)
		}
	}
}

// metric returns the value of a metric of a node, 0 if it is absent.
func (d *standaloneDeployment) metric(n *standaloneNode, name string) float64 {
	d.t.Helper()
	_, body, err := fasthttp.GetTimeout(nil, "http://"+n.http+"/metrics", time.Second)
	if err != nil {
		d.t.Fatal(err)
	}
	for _, line := range strings.Split(string(body), "\n") {
		if value, found := strings.CutPrefix(line, name+" "); found {
			var number float64
			fmt.Sscan(value, &number)
			return number
		}
	}
	return 0
}
