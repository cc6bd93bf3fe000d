package test

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/loadgen"
)

func TestNodeKillUnderLoad(t *testing.T) {
	d := deployStandalone(t)
	stop := d.startLoad(40, 0.6, d.addresses)
	time.Sleep(time.Second)
	d.nodes[1].signal(syscall.SIGKILL)
	<-d.nodes[1].exited
	time.Sleep(time.Second)
	d.startProcess(d.nodes[1])
	d.waitReady(d.nodes[1])
	time.Sleep(time.Second)
	generator := stop()
	counts := generator.Counts()
	if counts.Wrong > 0 || counts.Answered == 0 {
		t.Errorf("outcomes at callers: %+v", counts)
	}
	d.checkRuns(generator)
	checkTrainerCounts(t, d.runTrainer("2"), 2)
}

func TestPausedNodeDispatchesNothingTwice(t *testing.T) {
	d := deployStandalone(t)
	stop := d.startLoad(40, 0.8, d.addresses)
	for range 2 {
		d.nodes[2].signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		d.nodes[2].signal(syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)
	}
	generator := stop()
	if counts := generator.Counts(); counts.Wrong+counts.Truncated > 0 || counts.Answered == 0 {
		t.Errorf("outcomes at callers: %+v", counts)
	}
	d.checkRuns(generator)
}

func TestSchedulerKillLosesNoResults(t *testing.T) {
	d := deployStandalone(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		checkTrainerCounts(t, d.runTrainer("6"), 6)
	}()
	time.Sleep(700 * time.Millisecond)
	for _, n := range d.nodes {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+n.http+"/status", time.Second)
		if err == nil && bytes.Contains(body, []byte(`"scheduler/trainer"`)) {
			n.signal(syscall.SIGKILL)
			<-n.exited
			d.startProcess(n)
			break
		}
	}
	<-done
}

func TestEngineLinkFaultsDuringStreams(t *testing.T) {
	modes := map[string]func(p *proxy){
		"cut":         func(p *proxy) { p.set(proxyReset) },
		"freeze":      func(p *proxy) { p.set(proxyFreeze) },
		"one-way":     func(p *proxy) { p.set(proxyOneWay) },
		"reset after": func(p *proxy) { p.resetResponseAfter.Store(700) },
	}
	d := deployStandalone(t)
	for name, inject := range modes {
		t.Run(name, func(t *testing.T) {
			stop := d.startLoad(40, 0.3, d.addresses)
			time.Sleep(300 * time.Millisecond)
			inject(d.engineProxies[0])
			time.Sleep(1200 * time.Millisecond)
			d.engineProxies[0].resetResponseAfter.Store(0)
			d.engineProxies[0].set(proxyPass)
			time.Sleep(300 * time.Millisecond)
			generator := stop()
			if counts := generator.Counts(); counts.Wrong+counts.Truncated+counts.Unreachable > 0 || counts.Answered == 0 {
				t.Errorf("outcomes at callers: %+v, error codes %v", counts, generator.Codes())
			}
			d.checkRuns(generator)
		})
	}
}

func TestPlatformOutageKeepsServing(t *testing.T) {
	d := deployStandalone(t)
	d.platformProxy.set(proxyReset)
	d.nodes[2].signal(syscall.SIGKILL)
	<-d.nodes[2].exited
	d.startProcess(d.nodes[2])
	d.waitReady(d.nodes[2])
	client := loadgen.NewClient()
	for i := range 5 {
		verdict := loadgen.Do(client, d.nodes[2].http, loadgen.Request{
			Model: "m", Group: "live", Prompt: fmt.Sprint("in the outage ", i), MaxTokens: 8, Key: fmt.Sprint("outage-", i), Deadline: 5 * time.Second,
		})
		if verdict.Kind != loadgen.Answered {
			t.Errorf("request %d during the platform outage: %+v", i, verdict)
		}
	}
	d.platformProxy.set(proxyPass)
	d.pathtally(0, "apply", "-f", d.folder, "-platform", d.platform.address(0), "-wait", "-node-address", d.nodes[0].http)
}

// A node that becomes ready before it knows a view of the quorum refuses every unsafe request
// if a platform outage begins at that moment.
func TestReadyNodeServesUnsafeRequests(t *testing.T) {
	d := deployStandaloneUnconfigured(t)
	d.pathtally(0, "apply", "-f", d.folder, "-platform", d.platform.address(0))
	d.platformProxy.delay.Store(int64(100 * time.Millisecond))
	for i := range standaloneNodes {
		d.startNode(i)
	}
	for _, started := range d.nodes {
		d.waitReady(started)
	}
	d.platformProxy.set(proxyReset)
	client := loadgen.NewClient()
	for i, started := range d.nodes {
		verdict := loadgen.Do(client, started.http, loadgen.Request{
			Model: "m", Group: "live", Prompt: fmt.Sprint("after the start ", i), MaxTokens: 8, Key: fmt.Sprint("start-", i), Deadline: 5 * time.Second,
		})
		if verdict.Kind != loadgen.Answered {
			t.Errorf("unsafe request to %s during the platform outage: %+v", started.name, verdict)
		}
	}
}

func TestSlowCallerDoesNotBlockOthers(t *testing.T) {
	d := deployStandalone(t)
	slow := newProxy(t, d.nodes[0].http)
	slow.set(proxyFreeze)
	go func() {
		_ = loadgen.Do(loadgen.NewClient(), slow.address(), loadgen.Request{Model: "m", Group: "live", Prompt: "slow", MaxTokens: 60, Stream: true, Deadline: 5 * time.Second})
	}()
	stop := d.startLoad(30, 0, d.addresses)
	time.Sleep(time.Second)
	if counts := stop().Counts(); counts.Answered == 0 || counts.Wrong+counts.Truncated+counts.Unknown+counts.Unreachable > 0 {
		t.Errorf("outcomes at callers: %+v", counts)
	}
}

// A connection to an engine that is reset at any byte of a request must not lead to a second
// run of an unsafe request or to a wrong outcome for the caller.
func TestDispatchCutAtByteOffsets(t *testing.T) {
	const step, longest = 7, 700
	d := deployStandalone(t)
	client := loadgen.NewClient()
	outcomes := map[loadgen.Kind]int{}
	for limit := int64(0); limit < longest; limit += step {
		for _, p := range d.engineProxies {
			p.resetRequestAfter.Store(limit)
			p.resetOpen()
		}
		request := loadgen.Request{Model: "m", Group: "live", Prompt: fmt.Sprint("cut at ", limit), MaxTokens: 4, Deadline: 5 * time.Second}
		if limit%(2*step) == 0 {
			request.Key = fmt.Sprint("cut-", limit)
		}
		verdict := loadgen.Do(client, d.nodes[0].http, request)
		outcomes[verdict.Kind]++
		runs := d.runCount(request.Prompt)
		if verdict.Kind == loadgen.RefusedNotRun && runs > 0 {
			t.Errorf("reset after %d bytes: request was refused as not run, but ran %d times", limit, runs)
		}
		if request.Key != "" && runs > 1 {
			t.Errorf("reset after %d bytes: unsafe request ran %d times", limit, runs)
		}
		if verdict.Kind == loadgen.Wrong || verdict.Kind == loadgen.Truncated {
			t.Errorf("reset after %d bytes: %+v", limit, verdict)
		}
	}
	t.Logf("outcomes: %d answered, %d refused as not run, %d unknown", outcomes[loadgen.Answered], outcomes[loadgen.RefusedNotRun], outcomes[loadgen.Unknown])
	if outcomes[loadgen.Unknown] == 0 {
		t.Error("no reset was late enough for an unknown outcome")
	}
}

// Streams of an engine that drains must continue at another engine.
func TestEngineDrainMovesStreams(t *testing.T) {
	d := deployStandalone(t)
	stop := d.startLoad(150, 0.3, d.addresses)
	time.Sleep(time.Second)
	if code, _, err := fasthttp.Post(nil, "http://"+d.engines.address(0)+"/drain", nil); err != nil || code != fasthttp.StatusOK {
		t.Fatalf("drain engine: status %d, %v", code, err)
	}
	time.Sleep(1500 * time.Millisecond)
	generator := stop()
	if counts := generator.Counts(); counts.Wrong+counts.Truncated+counts.Unreachable > 0 || generator.Codes()["engine_failed"] > 0 {
		t.Errorf("outcomes at callers: %+v, error codes %v", counts, generator.Codes())
	}
	d.checkRuns(generator)
	moved := 0.0
	for _, n := range d.nodes {
		moved += d.metric(n, "pathtally_streams_moved_total")
	}
	if moved == 0 {
		t.Error("no stream was moved, so the test proves nothing")
	}
	t.Logf("%.0f streams moved", moved)
}

// A rolling restart of all nodes must not fail requests.
func TestRollingRestartUnderLoad(t *testing.T) {
	d := deployStandalone(t)
	var stopping atomic.Int32
	stopping.Store(-1)
	others := func() []string {
		var addresses []string
		for i, n := range d.addresses() {
			if int32(i) != stopping.Load() {
				addresses = append(addresses, n)
			}
		}
		return addresses
	}
	stop := d.startLoad(40, 0.4, others)
	for i, n := range d.nodes {
		stopping.Store(int32(i))
		time.Sleep(200 * time.Millisecond)
		n.signal(syscall.SIGTERM)
		<-n.exited
		d.startProcess(n)
		d.waitReady(n)
		stopping.Store(-1)
		time.Sleep(300 * time.Millisecond)
	}
	generator := stop()
	if counts := generator.Counts(); counts.Wrong+counts.Truncated+counts.Unreachable > 0 || generator.Codes()["engine_failed"] > 0 {
		t.Errorf("outcomes at callers: %+v, error codes %v", counts, generator.Codes())
	}
	d.checkRuns(generator)
	checkTrainerCounts(t, d.runTrainer("2"), 2)
}
