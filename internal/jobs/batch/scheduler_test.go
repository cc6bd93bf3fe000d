package batch

import (
	"testing"
	"time"
)

// Guards against stalled runs that are never scanned because the scheduler is woken more
// often than scans are due.
func TestScanDespiteFrequentWakes(t *testing.T) {
	engine := startEngine(t, 3)
	engine.hold, engine.holdAt = make(chan struct{}), 1
	cluster := newCluster(t, 1, engine)
	node := cluster.nodes[0]
	go func() {
		for node.ctx.Err() == nil {
			node.WakeScheduler()
			time.Sleep(scanInterval / 5)
		}
	}()
	if err := cluster.submit(node, "job", 2); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	eventually(t, "stalled runs are canceled and started again", func() bool {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		return engine.runs["job.0"] > 1 && engine.runs["job.1"] > 1
	})
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("stalled runs were restarted after %s", took)
	}
	engine.release()
	checkResults(t, "job", cluster.readAll(node, "job", 2), 2, 3)
}

func TestScanScheduleSkipsOnceAfterPause(t *testing.T) {
	now := time.Now()
	scans := scanSchedule{last: now}
	for _, test := range []struct {
		after time.Duration
		due   bool
	}{
		{scanInterval / 2, false}, {scanInterval, true}, {3 * scanInterval, true},
		{2 * pausedScanGap, false}, {scanInterval, true},
		// A process that is slow all the time.
		{2 * pausedScanGap, false}, {2 * pausedScanGap, true}, {2 * pausedScanGap, false}, {2 * pausedScanGap, true},
	} {
		now = now.Add(test.after)
		if got := scans.isDue(now); got != test.due {
			t.Errorf("scan due after %s: %t", test.after, got)
		}
	}
}
