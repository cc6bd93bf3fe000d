package slowstart

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

func isListed(string) bool { return true }

var errNoAllotter = merry.New("no allotter")

// runClient runs a client with one warming replica. reply replies to its requests.
func runClient(ctx context.Context, reply func([]wire.ReplicaCount) ([]wire.ReplicaCount, error)) (*Client, *Gate) {
	client := NewClient(ClientConfig{
		RequestPermits: func(_ context.Context, wanted []wire.ReplicaCount) ([]wire.ReplicaCount, time.Duration, error) {
			allotted, err := reply(wanted)
			return allotted, PermitLifetime, err
		},
		Clock: time.Now, Allotted: func() {}, Logger: klog.Background(), Registry: prometheus.NewRegistry(),
	})
	gate := &Gate{}
	client.SetWarming([]WarmingReplica{{Replica: "r", Gate: gate, Until: time.Now().Add(3 * time.Second)}}, isListed)
	go client.Run(ctx)
	return client, gate
}

func TestGateClosedWithoutAllotter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		requests := 0
		_, gate := runClient(ctx, func([]wire.ReplicaCount) ([]wire.ReplicaCount, error) {
			requests++
			return nil, errNoAllotter
		})
		began := time.Now()
		for time.Since(began) < 2990*time.Millisecond {
			if gate.TakePermit() || gate.CheckPermit() {
				t.Fatal("a request passed without a permit")
			}
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		if most := int(3*time.Second/requestInterval) + 1; requests == 0 || requests > most {
			t.Errorf("%d requests for permits, want 1 to %d", requests, most)
		}
		time.Sleep(20 * time.Millisecond)
		if !gate.TakePermit() {
			t.Error("a request to a warm replica was refused")
		}
	})
}

func TestPermitsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		replied := false
		_, gate := runClient(ctx, func(wanted []wire.ReplicaCount) ([]wire.ReplicaCount, error) {
			if replied {
				return nil, nil
			}
			replied = true
			return []wire.ReplicaCount{{Replica: "r", Count: 2}}, nil
		})
		gate.CheckPermit()
		synctest.Wait()
		if left := gate.PermitsLeft(); left != 2 || !gate.TakePermit() {
			t.Errorf("%d permits left, want 2", left)
		}
		time.Sleep(PermitLifetime)
		if gate.TakePermit() {
			t.Error("an expired permit was used")
		}
	})
}

func TestLimitsPerWindow(t *testing.T) {
	if most := modelLimits.perWindow(0); most != 0 {
		t.Errorf("%d permits for a replica without a rate, want 0", most)
	}
	// perSecond is 7.7 * 1.5 + 5 and perWindow is 7.7 * 1.75, both rounded down.
	if most, bound := modelLimits.perWindow(modelRate), modelLimits.perSecond(modelRate); most != 13 || bound != 16 {
		t.Errorf("%d permits per window, %d requests per second, want 13 and 16", most, bound)
	}
}

func TestLimitsPerWindowLowRate(t *testing.T) {
	limits := Limits{Overage: 1, Slack: reservedRequests}
	if most := limits.perWindow(0.1); most != 0 {
		t.Errorf("%d permits per window, want 0: %d requests per second are allowed, %d are reserved", most, limits.perSecond(0.1), reservedRequests)
	}
}

func TestGateOfRemovedReplicaStaysClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client, gate := runClient(ctx, func([]wire.ReplicaCount) ([]wire.ReplicaCount, error) { return nil, errNoAllotter })
		client.SetWarming(nil, func(string) bool { return false })
		if gate.TakePermit() {
			t.Error("a request passed to a replica that was removed during its warm-up")
		}
	})
}

func TestGateOpensWhenListedAsWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		client, gate := runClient(ctx, func([]wire.ReplicaCount) ([]wire.ReplicaCount, error) { return nil, errNoAllotter })
		client.SetWarming(nil, isListed)
		if !gate.TakePermit() {
			t.Error("a request to a warm replica was refused")
		}
	})
}
