package weightorders

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/directory"
)

// task is a replica that is to get a model's version.
type task struct {
	target  Target
	model   string
	version int64
	has     int64
	// current is how many of the replicas that keep up with the model need no
	// load, and kept how many there are.
	current int
	kept    int
	// ahead is set where the replica can do without the version for now.
	ahead bool
}

// knowledge is what decides whether a replica needs a version.
type knowledge interface {
	// version is the newest version known of a replica's model.
	version(replica, model string) int64
	// tolerance is by how many versions the batch jobs of a model let the
	// weights be behind.
	tolerance(model string) int64
}

// needed tells whether a replica has to be brought to a named version. One that
// a new batch job would take can do without: where loads are slower than
// versions, replicas that skip some keep up all the same.
func needed(known knowledge, replica, model string, named int64) bool {
	return known.version(replica, model) < named-known.tolerance(model)
}

// tasksOf are the replicas of one model that lack its named version. Those that
// new batch jobs would not take as they are have to be brought to it. The others
// may be brought to it ahead, so that the next job finds more of them ready.
func tasksOf(known knowledge, model string, named int64, kept []*directory.Replica) []task {
	var open []task
	lacking := 0
	for _, replica := range kept {
		has := known.version(replica.ID, model)
		if has >= named {
			continue
		}
		required := needed(known, replica.ID, model, named)
		if required {
			lacking++
		}
		target := Target{ID: replica.ID, Instance: replica.InstanceName(), Born: replica.Born, Address: replica.Address}
		open = append(open, task{target: target, model: model, version: named, has: has, ahead: !required})
	}
	for i := range open {
		open[i].current, open[i].kept = len(kept)-lacking, len(kept)
	}
	return open
}

// tasks are all replicas that lack the named version of a model that they keep
// up with. Those in evacuated zones are to get nothing, so the models are shared among
// the others.
func tasks(view *directory.View, known knowledge, demand map[string]float64) []task {
	if view.Configuration == nil {
		return nil
	}
	var open []task
	byService := map[string][]*directory.Replica{}
	for _, replica := range view.Replicas {
		if view.IsEvacuated(replica.Zone) {
			continue
		}
		byService[replica.Service] = append(byService[replica.Service], replica)
	}
	for name, replicas := range byService {
		if !servesModels(view, name) {
			continue
		}
		service := view.Configuration.Services[name]
		for model, kept := range homes(replicas, sharesOf(service.Engine.Models, demand)) {
			open = append(open, tasksOf(known, model, view.Named[model], kept)...)
		}
	}
	return open
}

// order sorts tasks by which is to be done first: those that must before those
// done ahead; of the model with the smallest part of its replicas current, those
// that load now among them, so that no model waits for all loads of another and
// one with more work gets more; then of the replica furthest behind, then of the
// least used.
func order(open []task, loading map[string]int, used func(replica string) int) {
	slices.SortFunc(open, func(a, b task) int {
		if a.ahead != b.ahead {
			return placeOf(a.ahead) - placeOf(b.ahead)
		}
		if current := cmp.Compare(a.part(loading), b.part(loading)); current != 0 {
			return current
		}
		if behind := cmp.Compare(b.version-b.has, a.version-a.has); behind != 0 {
			return behind
		}
		if load := cmp.Compare(used(a.target.ID), used(b.target.ID)); load != 0 {
			return load
		}
		return cmp.Compare(a.target.ID, b.target.ID)
	})
}

// part is the part of a model's replicas that are current or load now.
func (t task) part(loading map[string]int) float64 {
	return float64(t.current+loading[t.model]) / float64(t.kept)
}

// placeOf puts tasks that must be done before those done ahead.
func placeOf(ahead bool) int {
	if ahead {
		return 1
	}
	return 0
}

// servesModels tells whether the replicas of a service are model engines.
func servesModels(view *directory.View, service string) bool {
	return view.Configuration != nil && view.Configuration.Services[service].Engine != nil
}

// engineReplicas counts the replicas that are model engines.
func engineReplicas(view *directory.View) int {
	count := 0
	for _, replica := range view.Replicas {
		if servesModels(view, replica.Service) {
			count++
		}
	}
	return count
}
