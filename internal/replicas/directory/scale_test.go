package directory

import (
	"fmt"
	"testing"

	"k8s.io/klog/v2"
)

func newReplicas(count int) []*Replica {
	replicas := make([]*Replica, count)
	for i := range replicas {
		replicas[i] = &Replica{
			ID: fmt.Sprintf("replica-%d", i), Service: []string{"model", "model", "model", "app"}[i%4], Address: fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255),
			Zone: fmt.Sprintf("zone-%d", i%5), Slots: 6, State: ReplicaReady,
		}
	}
	return replicas
}

func newFilledTable(count int) *Table {
	table := NewTable("node", "zone-1", nil, klog.Background())
	table.SetReplicas(newReplicas(count), 0)
	return table
}

// Measures the cost for one node of adding one replica and removing another.
func BenchmarkReplaceReplica(b *testing.B) {
	for _, count := range []int{3000, 10000, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := newFilledTable(count)
			next := *table.View().Replicas["replica-1"]
			round := 0
			for b.Loop() {
				round++
				added := next
				added.ID = fmt.Sprintf("joined-%d", round)
				removed := fmt.Sprintf("joined-%d", round-1)
				table.ApplyReplicas([]ReplicaChange{{Name: added.ID, Replica: &added}, {Name: removed}}, 0)
			}
		})
	}
}

// Guards against revised plans diverging from the plans of a listing of the same replicas.
func TestRevisedPlansMatchListing(t *testing.T) {
	all := newReplicas(400)
	listed := NewTable("node", "zone-1", nil, klog.Background())
	listed.SetReplicas(all[50:], 0)
	changed := NewTable("node", "zone-1", nil, klog.Background())
	changed.SetReplicas(all[:300], 0)
	for i := range 50 {
		changes := []ReplicaChange{{Name: all[i].ID}}
		for _, added := range all[300+2*i : 302+2*i] {
			changes = append(changes, ReplicaChange{Name: added.ID, Replica: added})
		}
		changed.ApplyReplicas(changes, 0)
	}
	for service, plan := range listed.View().Plans {
		revised := changed.View().Plans[service].Endpoints()
		if len(revised) != len(plan.Endpoints()) {
			t.Fatalf("%s: %d endpoints, want %d", service, len(revised), len(plan.Endpoints()))
		}
		for index, endpoint := range plan.Endpoints() {
			if revised[index].Name != endpoint.Name {
				t.Fatalf("%s: %s at position %d, want %s", service, revised[index].Name, index, endpoint.Name)
			}
		}
	}
}

// Measures the cost of adding 500 replicas in one batch, as when a large deployment starts.
func BenchmarkAdd500Replicas(b *testing.B) {
	all := newReplicas(5500)
	changes := make([]ReplicaChange, 500)
	for i, replica := range all[5000:] {
		changes[i] = ReplicaChange{Name: replica.ID, Replica: replica}
	}
	for b.Loop() {
		b.StopTimer()
		table := newFilledTable(5000)
		b.StartTimer()
		table.ApplyReplicas(changes, 0)
	}
}
