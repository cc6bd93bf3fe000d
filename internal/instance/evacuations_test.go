package instance

import (
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

func TestEvacuationLoggerCheck(t *testing.T) {
	table := directory.NewTable("node", "a", nil, klog.Background())
	table.SetReplicas([]*directory.Replica{{ID: "one", Service: "s", Zone: "a", State: directory.ReplicaReady}}, 0)
	table.SetEvacuations([]string{"a"})
	progress := &evacuationLogger{logger: klog.Background(), age: func() time.Duration { return 0 }, maxAge: time.Second, empty: map[string]bool{}}
	state := table.View().Endpoints["one"].State
	state.InFlight.Add(1)
	if delay := progress.check(table.View()); delay != evacuationPollInterval || progress.empty["a"] {
		t.Errorf("next check in %v with a request in the zone", delay)
	}
	state.InFlight.Add(-1)
	if delay := progress.check(table.View()); delay != evacuationIdleInterval || !progress.empty["a"] {
		t.Errorf("next check in %v without requests in the zone", delay)
	}
	table.SetEvacuations(nil)
	progress.check(table.View())
	if progress.empty["a"] {
		t.Error("zone is still marked as empty after the end of its evacuation")
	}
}

func TestEvacuationLoggerStaleness(t *testing.T) {
	age := 2 * time.Second
	progress := &evacuationLogger{logger: klog.Background(), age: func() time.Duration { return age }, maxAge: time.Second, empty: map[string]bool{}}
	progress.logStaleness()
	if !progress.isStale {
		t.Error("evacuations older than maxAge are not stale")
	}
	age = 0
	progress.logStaleness()
	if progress.isStale {
		t.Error("evacuations are still stale after an update")
	}
}
