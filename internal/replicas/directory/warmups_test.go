package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/slowstart"
)

const testWarmUp = 3 * time.Second

// recordedWarmUps is a SlowStart that records when the warm-up of each replica ends.
type recordedWarmUps map[string]time.Time

// SetWarming implements SlowStart.
func (w recordedWarmUps) SetWarming(warming []slowstart.WarmingReplica, _ func(string) bool) {
	clear(w)
	for _, replica := range warming {
		w[replica.Replica] = replica.Until
	}
}

// warmingTable returns a table with one service with a warm-up rate, and a replica in the
// first listing.
func warmingTable(rate float64) (*Table, recordedWarmUps) {
	table := NewTable("node", "zone", nil, klog.Background())
	warming := recordedWarmUps{}
	table.SetSlowStart(warming)
	table.SetConfiguration(&Configuration{Version: 1, Services: map[string]Service{"s": {Name: "s", WarmUp: testWarmUp, WarmUpRate: rate}}}, 1)
	table.SetReplicas([]*Replica{warmReplica("old", 0)}, 0)
	return table, warming
}

func warmReplica(id string, left time.Duration) *Replica {
	return &Replica{ID: id, Service: "s", Zone: "z", Slots: 1, State: ReplicaReady, WarmUpRemaining: left}
}

func applyChange(table *Table, replica *Replica) {
	table.ApplyReplicas([]ReplicaChange{{Name: replica.ID, Replica: replica}}, 0)
}

func (w recordedWarmUps) expect(t *testing.T, id string, left time.Duration) {
	t.Helper()
	until, warms := w[id]
	if warms != (left > 0) || (warms && time.Until(until) != left) {
		t.Errorf("%s warming up: %v, remaining %v; want %v", id, warms, time.Until(until), left)
	}
}

func TestWarmUpFromEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, warming := warmingTable(7)
		warming.expect(t, "old", 0)
		applyChange(table, warmReplica("old", 2*time.Second))
		warming.expect(t, "old", 2*time.Second)
		time.Sleep(time.Second)
		// An unchanged warm-up time must not restart the warm-up.
		applyChange(table, warmReplica("old", 2*time.Second))
		warming.expect(t, "old", time.Second)
		applyChange(table, warmReplica("old", 0))
		warming.expect(t, "old", 0)
	})
}

func TestWarmUpOfNewReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, warming := warmingTable(7)
		applyChange(table, warmReplica("new", 0))
		applyChange(table, warmReplica("told", time.Second))
		warming.expect(t, "new", testWarmUp)
		warming.expect(t, "told", time.Second)
		warming.expect(t, "old", 0)
	})
}

func TestWarmUpOfReturningReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, warming := warmingTable(7)
		table.ApplyReplicas([]ReplicaChange{{Name: "old"}}, 0)
		warming.expect(t, "old", 0)
		applyChange(table, warmReplica("old", 0))
		warming.expect(t, "old", testWarmUp)
	})
}

func TestWarmUpAfterEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, warming := warmingTable(7)
		table.mutex.Lock()
		next := *table.view.Load()
		next.EvacuationEnded = map[string]time.Time{"z": time.Now()}
		table.publish(&next, nil)
		table.mutex.Unlock()
		warming.expect(t, "old", testWarmUp)
	})
}

func TestNoWarmUpWithoutRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, warming := warmingTable(0)
		applyChange(table, warmReplica("new", time.Second))
		warming.expect(t, "new", 0)
	})
}
