package batch

import (
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
)

func TestCountWaits(t *testing.T) {
	now := time.Now()
	first, second := &job{id: "first"}, &job{id: "second"}
	waiting := func(of *job, waited time.Duration, reason waitReason) *item {
		return &item{job: of, waitingSince: now.Add(-waited), waitReason: reason}
	}
	longest := waiting(first, 3*longWait, waitCrashes)
	counts, long := countWaits([]*item{
		waiting(first, longWait, waitNoSlot), longest, waiting(first, longWait/2, waitNoSlot), waiting(second, longWait/2, waitNoReplica),
	}, now)
	if counts[waitNoSlot] != 2 || counts[waitCrashes] != 1 || counts[waitNoReplica] != 1 {
		t.Errorf("waiting items: %v", counts)
	}
	if len(long) != 1 || long[first] == nil {
		t.Fatalf("jobs with long waits: %v, want the first only", long)
	}
	summary := long[first]
	if summary.longest != longest || summary.waited != 3*longWait || summary.reasons[waitNoSlot] != 1 || summary.reasons[waitCrashes] != 1 {
		t.Errorf("long waits of the first job: %+v", summary)
	}
}

// An attempt that reached no replica must not hide how long the item has waited.
func TestRefusedAttemptDoesNotRestartTheWait(t *testing.T) {
	service, waiting := newPlacement(1)
	since := time.Now().Add(-longWait)
	waiting.Item, waiting.waitingSince = &Item{ID: "item"}, since
	service.scheduler.replicas.GetOrCreate(replicaName(0))
	running := &itemRun{item: waiting, endpoint: service.config.Directory.View().Endpoints[replicaName(0)]}
	service.scheduler.runEnded(running, &dispatch.CrashBackoffError{})
	if !waiting.waitingSince.Equal(since) || waiting.waitReason != waitCrashes {
		t.Errorf("after a refusal: waits since %s, because %q", waiting.waitingSince, waiting.waitReason)
	}
	service.scheduler.reportWaits(time.Now())
	if got := waitingGauge(t, service, waitCrashes); got != 1 {
		t.Errorf("%v items wait for replicas that crashed, want 1", got)
	}
	service.scheduler.queue = nil
	service.scheduler.runEnded(running, &exchange.BrokenError{Cause: errors.New("reset")})
	if !waiting.waitingSince.After(since) || waiting.waitReason != waitBroken {
		t.Errorf("after a broken run: waits since %s, because %q", waiting.waitingSince, waiting.waitReason)
	}
}

// waitingGauge returns the number of items that the metrics of a service count for a reason.
func waitingGauge(t *testing.T, service *Service, reason waitReason) float64 {
	t.Helper()
	families, err := service.config.Registry.(prometheus.Gatherer).Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == "pathtally_items_waiting" && metric.GetLabel()[0].GetValue() == string(reason) {
				return metric.GetGauge().GetValue()
			}
		}
	}
	return 0
}
