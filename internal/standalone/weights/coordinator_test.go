package weights

import (
	"fmt"
	"testing"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/engine"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(0, 0) }

func (fixedClock) AfterFunc(time.Duration, func()) environment.Timer { return nil }

// recordingEngines records orders and never responds to them.
type recordingEngines struct{ orders []engine.Order }

func (e *recordingEngines) Start(string, engine.Request, func(engine.Event)) func() { return nil }

func (e *recordingEngines) Export(string, string) {}

func (e *recordingEngines) Status(string, func(engine.Status, error)) {}

func (e *recordingEngines) Order(_ string, order engine.Order, _ func(engine.Status, error)) {
	e.orders = append(e.orders, order)
}

func version(number int64, active bool) *v1.WeightVersion {
	declared := &v1.WeightVersion{Header: v1.Header{Kind: v1.KindWeightVersion, Metadata: v1.Metadata{Name: fmt.Sprint("v", number)}}}
	declared.Spec = v1.WeightVersionSpec{Model: "m", Version: number, Active: active}
	return declared
}

func group(floor float64) *v1.TrafficGroup {
	declared := &v1.TrafficGroup{Header: v1.Header{Kind: v1.KindTrafficGroup, Metadata: v1.Metadata{Name: "g"}}}
	declared.Spec = v1.TrafficGroupSpec{Model: "m", FloorShare: floor}
	return declared
}

// TestReconcileOrders guards against missing, repeated or excess orders to ten engines.
func TestReconcileOrders(t *testing.T) {
	cases := []struct {
		name     string
		set      *v1.Set
		staged   int64
		stages   int
		activate int
	}{
		{"nothing declared", v1.NewSet(group(0.5)), 1, 0, 0},
		{"already active", v1.NewSet(group(0.5), version(1, true)), 1, 0, 0},
		{"staged only", v1.NewSet(group(0.5), version(2, false)), 1, 10, 0},
		{"active but not staged", v1.NewSet(group(0.5), version(2, true)), 1, 10, 0},
		{"half may activate", v1.NewSet(group(0.5), version(2, true)), 2, 0, 5},
		{"one may activate despite a floor of 1", v1.NewSet(group(1), version(2, true)), 2, 0, 1},
		{"all may activate without groups", v1.NewSet(version(2, true)), 2, 0, 10},
		{"next version staged before activation", v1.NewSet(group(0.5), version(2, true), version(3, false)), 2, 10, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			engines := &recordingEngines{}
			coordinator := NewCoordinator(Config{
				Model: "m", Scope: "s", Token: 7, Clock: fixedClock{}, Engines: engines,
				DeclaredSet: func() *v1.Set { return test.set }, OnStatus: func(string, engine.Status) {},
				Targets: func() []Target {
					var targets []Target
					for i := range 10 {
						declared := &v1.Engine{Header: v1.Header{Kind: v1.KindEngine, Metadata: v1.Metadata{Name: fmt.Sprint("e", i)}}}
						targets = append(targets, Target{Engine: declared, Version: 1, Staged: test.staged, Known: true, InService: true})
					}
					return targets
				},
			})
			coordinator.Reconcile()
			coordinator.Reconcile()
			counts := map[engine.Action]int{}
			for _, order := range engines.orders {
				counts[order.Action]++
				if order.Token != 7 || order.Scope != "s" {
					t.Errorf("order has the wrong scope or fencing token: %+v", order)
				}
			}
			if counts[engine.ActionStage] != test.stages || counts[engine.ActionActivate] != test.activate {
				t.Errorf("unexpected number of orders by action: %v", counts)
			}
		})
	}
}
