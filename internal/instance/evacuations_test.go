package instance

import (
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

func TestAnEvacuatedZoneIsWatchedUntilItIsEmpty(t *testing.T) {
	table := directory.NewTable("node", "a", nil, klog.Background())
	table.SetReplicas([]*directory.Replica{{ID: "one", Service: "s", Zone: "a", State: directory.ReplicaReady}}, 0)
	table.SetEvacuations([]string{"a"})
	watch := &evacuationLogger{logger: klog.Background(), age: func() time.Duration { return 0 }, maxAge: time.Second, empty: map[string]bool{}}
	state := table.View().Endpoints["one"].State
	state.InFlight.Add(1)
	if pause := watch.check(table.View()); pause != evacuationPollInterval || watch.empty["a"] {
		t.Errorf("with a request there the next check is in %v", pause)
	}
	state.InFlight.Add(-1)
	if pause := watch.check(table.View()); pause != evacuationIdleInterval || !watch.empty["a"] {
		t.Errorf("without a request there the next check is in %v", pause)
	}
	table.SetEvacuations(nil)
	watch.check(table.View())
	if watch.empty["a"] {
		t.Error("the next evacuation of the zone begins as an empty one")
	}
}

func TestDoubtAboutEvacuationsIsToldOnceAndEnds(t *testing.T) {
	age := 2 * time.Second
	watch := &evacuationLogger{logger: klog.Background(), age: func() time.Duration { return age }, maxAge: time.Second, empty: map[string]bool{}}
	watch.logStaleness()
	if !watch.isStale {
		t.Error("word older than the bound is taken as current")
	}
	age = 0
	watch.logStaleness()
	if watch.isStale {
		t.Error("doubt goes on although there was word")
	}
}
