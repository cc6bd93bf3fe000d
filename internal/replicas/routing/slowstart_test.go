package routing

import (
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/slowstart"
)

// Guards against live requests requesting permits while a warm replica is available. There is
// no allotter.
func TestPickPrefersWarmReplicas(t *testing.T) {
	plan := testPlan(3)
	var warming []slowstart.WarmingReplica
	for _, endpoint := range plan.Endpoints() {
		warming = append(warming, slowstart.WarmingReplica{Replica: endpoint.Name, Gate: &endpoint.State.SlowStart, Until: time.Now().Add(time.Hour)})
	}
	client := slowstart.NewClient(slowstart.ClientConfig{Clock: time.Now, Logger: klog.Background(), Registry: prometheus.NewRegistry()})
	isListed := func(string) bool { return true }
	client.SetWarming(warming[1:], isListed)
	for random := range uint64(50) {
		picked, err := plan.Pick(&Query{Random: random})
		if err != nil || picked.Name != warming[0].Replica {
			t.Fatalf("picked %v, %v, want the warm replica", picked, err)
		}
	}
	if warming[1].Gate.HasDemand() {
		t.Error("permits are requested although a replica is warm")
	}
	client.SetWarming(warming, isListed)
	if _, err := plan.Pick(&Query{}); !errors.Is(err, ErrNoEngineAvailable) || !warming[1].Gate.HasDemand() {
		t.Errorf("%v with all replicas warming up; permits requested: %v", err, warming[1].Gate.HasDemand())
	}
}
