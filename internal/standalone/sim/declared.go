package sim

import (
	"encoding/json"
	"fmt"
	"slices"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/reader"
	"github.com/pathtally/pathtally/internal/standalone/standin/objects"
)

// declared is the configuration of the world.
func (w *World) declared() *v1.Set {
	if w.config.Set != nil {
		return w.config.Set
	}
	header := func(kind v1.Kind, name string, labels map[string]string) v1.Header {
		return v1.Header{APIVersion: v1.APIVersion, Kind: kind, Metadata: v1.Metadata{Name: name, Labels: labels}}
	}
	var all []v1.Object
	for i := range w.config.Models {
		all = append(all,
			&v1.Model{Header: header(v1.KindModel, nth(modelName, i), nil)},
			&v1.TrafficGroup{Header: header(v1.KindTrafficGroup, nth(groupName, i), map[string]string{"urgency": "live"}), Spec: v1.TrafficGroupSpec{Model: nth(modelName, i), Priority: 80}},
			&v1.Trainer{Header: header(v1.KindTrainer, nth(trainerName, i), nil), Spec: v1.TrainerSpec{
				Model: nth(modelName, i), Engines: "kind=gpu", Scorer: "http://127.0.0.1:1/score", MaxStaleness: w.config.Bound, StepsAhead: w.config.StepsAhead,
			}},
		)
	}
	all = append(all,
		&v1.RoutingRule{Header: header(v1.KindRoutingRule, "rule", nil), Spec: v1.RoutingRuleSpec{Groups: "urgency=live", Engines: "kind=gpu"}},
		&v1.Limit{Header: header(v1.KindLimit, limitName, nil), Spec: v1.LimitSpec{Groups: "urgency=live"}},
	)
	for i, name := range w.order {
		where := w.Engines[name].host
		all = append(all, &v1.Engine{Header: header(v1.KindEngine, fmt.Sprintf("engine-%d", i+1), map[string]string{"kind": "gpu"}), Spec: v1.EngineSpec{
			Address: name, Model: nth(modelName, i%w.config.Models), Zone: where.Zone, Region: where.Region, Slots: w.config.Parameters.Slots,
		}})
	}
	for _, object := range all {
		object.SetDefaults()
	}
	return v1.NewSet(all...)
}

// nth names the objects of the first model plainly and numbers the others.
func nth(name string, index int) string {
	if index == 0 {
		return name
	}
	return fmt.Sprintf("%s-%d", name, index+1)
}

// placesOf lists the places of the declared engines.
func placesOf(set *v1.Set) []Place {
	var places []Place
	for _, declared := range v1.All[*v1.Engine](set) {
		if found := (Place{declared.Spec.Zone, declared.Spec.Region}); !slices.Contains(places, found) {
			places = append(places, found)
		}
	}
	return places
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
