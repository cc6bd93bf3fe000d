package directory

import (
	"context"
	"slices"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/slowstart"
	"github.com/pathtally/pathtally/standin/metastore"
)

// evacuationTest is a directory with replica a in zone a and replica b in zone b.
type evacuationTest struct {
	*testing.T
	store *metastore.Store
	table *Table
}

func inZone(zone string) *Replica {
	replica := ready("s")
	replica.Zone = zone
	return replica
}

func withZones(t *testing.T, test func(e *evacuationTest)) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "a", inZone("a"))
		store.Write("servers", "b", inZone("b"))
		e := &evacuationTest{T: t, store: store, table: newInformedTable(ctx, store)}
		settle(time.Second)
		test(e)
	})
}

func (e *evacuationTest) begin(zone string) { e.store.Write("evacuations", zone, struct{}{}) }
func (e *evacuationTest) end(zone string)   { e.store.Remove("evacuations", zone) }

// expectEvacuated waits for the given time and checks which replicas are evacuated.
func (e *evacuationTest) expectEvacuated(within time.Duration, evacuated ...string) {
	e.Helper()
	settle(within)
	var found []string
	for id, endpoint := range e.table.View().Endpoints {
		if endpoint.State.Evacuated() {
			found = append(found, id)
		}
	}
	slices.Sort(found)
	if !slices.Equal(found, evacuated) {
		e.Errorf("evacuated replicas are %v, want %v", found, evacuated)
	}
}

func TestEvacuationByWatch(t *testing.T) {
	withZones(t, func(e *evacuationTest) {
		e.begin("a")
		e.expectEvacuated(time.Second, "a")
	})
}

func TestEvacuationsOverlap(t *testing.T) {
	withZones(t, func(e *evacuationTest) {
		e.begin("a")
		e.begin("b")
		e.end("a")
		e.expectEvacuated(time.Second, "b")
	})
}

func TestEvacuationRelistedAfterCompaction(t *testing.T) {
	withZones(t, func(e *evacuationTest) {
		e.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Dropped })
		settle(time.Second)
		e.begin("a")
		e.store.CompactHistory()
		e.store.SetFault(nil)
		e.expectEvacuated(3*time.Second, "a")
	})
}

func TestEvacuationEndedDuringOutage(t *testing.T) {
	withZones(t, func(e *evacuationTest) {
		e.begin("a")
		settle(time.Second)
		e.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Dropped })
		settle(time.Second)
		e.end("a")
		e.expectEvacuated(time.Second, "a")
		e.store.SetFault(nil)
		e.expectEvacuated(3 * time.Second)
	})
}

func TestEvacuationEndRemembered(t *testing.T) {
	withZones(t, func(e *evacuationTest) {
		e.begin("a")
		settle(time.Second)
		e.end("a")
		settle(time.Second)
		if ended := e.table.View().EvacuationEnded["a"]; time.Since(ended) > time.Second {
			t.Errorf("end of the evacuation recorded at %v", ended)
		}
	})
}

func TestEvacuationOfUnknownZone(t *testing.T) {
	withZones(t, func(e *evacuationTest) {
		e.begin("elsewhere")
		e.expectEvacuated(time.Second)
	})
}

func TestEvacuationAppliesToNewReplica(t *testing.T) {
	withZones(t, func(e *evacuationTest) {
		e.begin("c")
		settle(time.Second)
		e.store.Write("servers", "c", inZone("c"))
		e.expectEvacuated(time.Second, "c")
	})
}

func TestEvacuationReplicaChangesZone(t *testing.T) {
	withZones(t, func(e *evacuationTest) {
		e.begin("a")
		settle(time.Second)
		e.store.Write("servers", "a", inZone("b"))
		e.expectEvacuated(time.Second)
	})
}

// Guards against a starting node using replicas before it knows which zones are evacuated.
func TestAssumeAllEvacuated(t *testing.T) {
	table := NewTable("node", "a", nil, klog.Background())
	table.AssumeAllEvacuated()
	replica := inZone("a")
	replica.ID = "a"
	table.SetReplicas([]*Replica{replica}, 0)
	if !table.View().Endpoints["a"].State.Evacuated() {
		t.Error("a replica is used before the evacuations are known")
	}
	table.SetEvacuations(nil)
	if table.View().Endpoints["a"].State.Evacuated() {
		t.Error("a replica is not used although no zone is evacuated")
	}
}

// recordingSlowStart is a SlowStart that records whether replica a was evacuated at the last
// call of SetWarming.
type recordingSlowStart struct {
	table     *Table
	evacuated bool
}

func (r *recordingSlowStart) SetWarming([]slowstart.WarmingReplica, func(string) bool) {
	if endpoint := r.table.View().Endpoints["a"]; endpoint != nil {
		r.evacuated = endpoint.State.Evacuated()
	}
}

// Replicas may be cold when an evacuation ends. Guards against sending them requests before
// their slow-start limits are set.
func TestSlowStartBeforeEvacuationEnds(t *testing.T) {
	table := NewTable("node", "a", nil, klog.Background())
	recorder := &recordingSlowStart{table: table}
	table.SetSlowStart(recorder)
	replica := inZone("a")
	replica.ID = "a"
	table.SetReplicas([]*Replica{replica}, 0)
	table.SetEvacuations([]string{"a"})
	table.SetEvacuations(nil)
	if !recorder.evacuated || table.View().Endpoints["a"].State.Evacuated() {
		t.Errorf("marked as evacuated when its slow-start limit was set: %v, want true; or still marked afterwards", recorder.evacuated)
	}
}
