package sim

import (
	"encoding/json"
	"fmt"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/reader"
	"github.com/pathtally/pathtally/internal/standalone/standin/objects"
)

// declared is the configuration of the world.
func (w *World) declared() *v1.Set {
	header := func(kind v1.Kind, name string, labels map[string]string) v1.Header {
		return v1.Header{APIVersion: v1.APIVersion, Kind: kind, Metadata: v1.Metadata{Name: name, Labels: labels}}
	}
	all := []v1.Object{
		&v1.Model{Header: header(v1.KindModel, modelName, nil)},
		&v1.TrafficGroup{Header: header(v1.KindTrafficGroup, groupName, map[string]string{"urgency": "live"}), Spec: v1.TrafficGroupSpec{Model: modelName, Priority: 80}},
		&v1.Trainer{Header: header(v1.KindTrainer, trainerName, nil), Spec: v1.TrainerSpec{
			Model: modelName, Engines: "kind=gpu", Scorer: "http://127.0.0.1:1/score", MaxStaleness: w.config.Bound, StepsAhead: w.config.StepsAhead,
		}},
		&v1.RoutingRule{Header: header(v1.KindRoutingRule, "rule", nil), Spec: v1.RoutingRuleSpec{Groups: "urgency=live", Engines: "kind=gpu"}},
		&v1.Limit{Header: header(v1.KindLimit, limitName, nil), Spec: v1.LimitSpec{Groups: "urgency=live"}},
	}
	for i, name := range w.order {
		where := w.Engines[name].host
		all = append(all, &v1.Engine{Header: header(v1.KindEngine, fmt.Sprintf("engine-%d", i+1), map[string]string{"kind": "gpu"}), Spec: v1.EngineSpec{
			Address: name, Model: modelName, Zone: where.Zone, Region: where.Region, Slots: w.config.Parameters.Slots,
		}})
	}
	for _, object := range all {
		object.SetDefaults()
	}
	return v1.NewSet(all...)
}

// put records what is written to the object API.
func (w *World) put(object objects.Object) {
	if object.Name != reader.ConfigurationDocument {
		return
	}
	head := &reader.Head{}
	if json.Unmarshal(object.Data, head) != nil {
		return
	}
	set, err := v1.FromEntries(head.Document().Entries)
	if err != nil {
		return
	}
	w.History.put(head.Generation, set)
}
