package test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/loadgen"
)

const (
	startLimit = 20 * time.Second
	look       = 25 * time.Millisecond
	engines    = 3
	nodes      = 3
)

// loadSeeds gives each load of the run prompts of its own.
var loadSeeds atomic.Uint64

// binaries is the folder of the built programs.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "pathtally-test-")
	if err != nil {
		panic(err)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/", "../cmd/pathtally", "../cmd/pathtally-standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// program is a running process of a test.
type program struct {
	t       *testing.T
	command *exec.Cmd
	lines   []string
	// output is what follows the lines.
	output *bufio.Reader
	exited chan struct{}
}

// start runs a program and waits for as many lines of standard output as it
// prints once it listens.
func start(t *testing.T, lines int, name string, args ...string) *program {
	t.Helper()
	p := &program{t: t, command: exec.Command(filepath.Join(binaries, name), args...), exited: make(chan struct{})}
	output, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var failure bytes.Buffer
	p.command.Stderr = &failure
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(output)
	p.output = reader
	for range lines {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatalf("%s %v ended: %s", name, args, failure.String())
		}
		p.lines = append(p.lines, strings.TrimSpace(line))
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.kill)
	return p
}

// address is the last word of the line that a program printed.
func (p *program) address(line int) string {
	words := strings.Fields(p.lines[line])
	return words[len(words)-1]
}

func (p *program) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

func (p *program) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// node is a node process with what is needed to start it again.
type node struct {
	*program
	name string
	args []string
	http string
	peer string
}

// deployment is a whole set of processes.
type deployment struct {
	t        *testing.T
	platform *program
	scorer   *program
	engines  *program
	// engineProxies stand between nodes and engines, platformProxy between
	// nodes and the platform.
	engineProxies []*proxy
	platformProxy *proxy
	nodes         []*node
	folder        string
}

// deploy starts everything and waits until every node is ready.
func deploy(t *testing.T) *deployment {
	t.Helper()
	d := deployUnconfigured(t)
	d.pathtally(0, "apply", "-f", d.folder, "-platform", d.platform.address(0))
	for i := range nodes {
		d.startNode(i)
	}
	for _, started := range d.nodes {
		d.waitReady(started)
	}
	return d
}

// deployUnconfigured starts all but the nodes; nothing is applied yet.
func deployUnconfigured(t *testing.T) *deployment {
	t.Helper()
	t.Parallel()
	d := &deployment{t: t, folder: t.TempDir()}
	d.platform = start(t, 1, "pathtally-standin", "platform", "-listen", "127.0.0.1:0")
	d.scorer = start(t, 1, "pathtally-standin", "scorer", "-listen", "127.0.0.1:0")
	d.engines = start(t, engines, "pathtally-standin", "engine", "-listen", strings.TrimSuffix(strings.Repeat("127.0.0.1:0,", engines), ","))
	d.platformProxy = newProxy(t, d.platform.address(0))
	for i := range engines {
		d.engineProxies = append(d.engineProxies, newProxy(t, d.engines.address(i)))
	}
	d.declare()
	return d
}

// declare writes the objects of the deployment.
func (d *deployment) declare() {
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

func (d *deployment) startNode(number int) {
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
	added := &node{name: fmt.Sprintf("node-%d", number), args: args}
	d.nodes = append(d.nodes, added)
	d.run(added)
}

// run starts a node's process; one that ran before gets its addresses again.
func (d *deployment) run(n *node) {
	d.t.Helper()
	args := n.args
	if n.http != "" {
		args = append(args, "-peer", n.peer, "-http", n.http, "-seeds", strings.Join(d.peersOf(n), ","))
	}
	n.program = start(d.t, 1, "pathtally", args...)
	if n.http == "" {
		// Loads read the addresses at any time; they stay over restarts.
		words := strings.Fields(n.lines[0])
		n.peer, n.http = words[3], words[5]
	}
}

func (d *deployment) peersOf(except *node) []string {
	var peers []string
	for _, other := range d.nodes {
		if other != except {
			peers = append(peers, other.peer)
		}
	}
	return peers
}

func (d *deployment) waitReady(n *node) {
	d.t.Helper()
	d.eventually("node "+n.name+" ready", func() bool {
		code, _, err := fasthttp.GetTimeout(nil, "http://"+n.http+"/readyz", time.Second)
		return err == nil && code == fasthttp.StatusOK
	})
}

// eventually waits for something that takes a while; the limit only ends a
// test that would never end.
func (d *deployment) eventually(what string, check func() bool) {
	d.t.Helper()
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(look) {
		if check() {
			return
		}
	}
	d.t.Fatalf("never happened: %s", what)
}

// pathtally runs a command of the operator's and checks its exit code.
func (d *deployment) pathtally(expected int, args ...string) string {
	d.t.Helper()
	output, code := runCommand(args...)
	if code != expected {
		d.t.Fatalf("pathtally %v: exit code %d, expected %d: %s", args, code, expected, output)
	}
	return output
}

func runCommand(args ...string) (string, int) {
	command := exec.Command(filepath.Join(binaries, "pathtally"), args...)
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

func (d *deployment) addresses() []string {
	var addresses []string
	for _, n := range d.nodes {
		addresses = append(addresses, n.http)
	}
	return addresses
}

// load sends requests until the function returned is called, which waits for
// the open ones and returns what callers saw.
func (d *deployment) load(perSecond, unsafeShare float64, to func() []string) func() *loadgen.Generator {
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

// runs is how often the engines together ran a prompt anew.
func (d *deployment) runs(prompt string) int {
	d.t.Helper()
	total := 0
	for i := range engines {
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

// checkRuns checks that no unsafe request ran twice and that nothing said to
// be not run has run.
func (d *deployment) checkRuns(generator *loadgen.Generator) {
	d.t.Helper()
	unsafe := generator.Unsafe()
	if len(unsafe) == 0 {
		d.t.Error("no unsafe request was sent")
	}
	for prompt := range unsafe {
		if count := d.runs(prompt); count > 1 {
			d.t.Errorf("%q ran %d times", prompt, count)
		}
	}
	for _, prompt := range generator.NotRun() {
		if count := d.runs(prompt); count > 0 {
			d.t.Errorf("%q was said to be not run and ran %d times", prompt, count)
		}
	}
}

// metric reads one metric of a node.
func (d *deployment) metric(n *node, name string) float64 {
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
