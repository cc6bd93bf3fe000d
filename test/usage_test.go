package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/dutyapi"
)

// usageLate is the nodes' setting of that name: when the report of a window is due after the
// window's end.
const usageLate = 10 * time.Second

// runsByWindow counts the runs of live requests by usage window and tenant.
func (d *platformDeployment) runsByWindow() map[int64]map[string]uint64 {
	counts := map[int64]map[string]uint64{}
	for _, app := range d.apps {
		for _, run := range app.Runs() {
			window := run.At.UnixNano() / int64(d.usageWindow)
			if run.Tenant == "" || !strings.HasPrefix(run.ID, "usage.") {
				// Scorer calls are not metered.
				continue
			}
			if counts[window] == nil {
				counts[window] = map[string]uint64{}
			}
			counts[window][run.Tenant]++
		}
	}
	return counts
}

// generateLoad sends requests of two tenants to all nodes, except those that avoid excludes,
// until the returned function is called.
func (d *platformDeployment) generateLoad(avoid func(node int) bool) (stop func()) {
	ended := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			key := []string{keyOfOne, keyOfTwo}[caller%2]
			for number := 0; ; number++ {
				select {
				case <-ended:
					return
				case <-time.After(25 * time.Millisecond):
				}
				node := (caller + number) % len(d.nodes)
				if !avoid(node) {
					d.send(d.nodes[node], http.MethodPost, liveHost, "/live/a", fmt.Sprintf("usage.%d.%d", caller, number), []byte("x"), authorization(key))
				}
			}
		})
	}
	return func() {
		close(ended)
		callers.Wait()
	}
}

// countDifference returns by how many requests a report differs from the wanted counts, and
// the total of these.
func countDifference(report dutyapi.Report, want map[string]uint64) (difference, total uint64) {
	for tenant, count := range want {
		total += count
		if reported := report.Counts[tenant]; reported > count {
			difference += reported - count
		} else {
			difference += count - reported
		}
	}
	return difference, total
}

// Each usage window must be reported, once and with rising fencing tokens, when the reporting
// node is killed and another node shuts down.
func TestUsageReportsSurviveNodeLoss(t *testing.T) {
	d := deployPlatform(t, deploymentSpec{nodes: 4, engines: 1, apps: 2, eventInterval: time.Millisecond, tenants: twoTenants(), usageWindow: time.Second})
	var stopped sync.Map
	stop := d.generateLoad(func(node int) bool { _, known := stopped.Load(node); return known })
	d.eventually("a usage window to be reported", func() bool { return len(d.dutyAPI.Reports()) > 1 })
	d.submitAs(d.nodes[0], authorization(keyOfOne), "uncounted", 8, 1)
	holder := -1
	for _, report := range d.dutyAPI.Reports() {
		fmt.Sscanf(report.Holder, "node-%d", &holder)
	}
	stopped.Store(holder, true)
	d.nodes[holder].signal(syscall.SIGKILL)
	killed := time.Now()
	time.Sleep(3 * time.Second)
	stoppedNode := (holder + 1) % 4
	stopped.Store(stoppedNode, true)
	d.nodes[stoppedNode].signal(syscall.SIGTERM)
	time.Sleep(3 * time.Second)
	stop()
	last := time.Now().UnixNano()/int64(d.usageWindow) - 1
	d.eventually("the last complete usage window to be reported", func() bool { _, known := d.dutyAPI.Reports()[last]; return known })
	for _, finding := range d.dutyAPI.Violations() {
		t.Error(finding)
	}
	want, reports := d.runsByWindow(), d.dutyAPI.Reports()
	first := last
	for window := range want {
		first = min(first, window)
	}
	missed := 0
	for window := first + 1; window <= last; window++ {
		report, known := reports[window]
		difference, total := countDifference(report, want[window])
		if !known || float64(difference) > 0.05*float64(total) {
			missed++
			t.Logf("window %d: counts %v, reported %v, want %v, %s after the kill", window, report.Counts, known, want[window],
				time.Unix(0, window*int64(d.usageWindow)).Sub(killed))
		}
	}
	// The counts of the killed node since its last report may be lost.
	if missed > 1 || last-first < 5 {
		t.Errorf("%d of %d windows are missing or differ by more than 5 %%", missed, last-first)
	}
	d.checkNoKeyLeaked()
}
