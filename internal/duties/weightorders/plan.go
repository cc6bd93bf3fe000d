package weightorders

import (
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
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
	// load is how many items run at the replica.
	load int
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
func (c *Coordinator) tasks(view *directory.View, demand Demand) []task {
	if view.Configuration == nil {
		return nil
	}
	var open []task
	for name, service := range view.Configuration.Services {
		if service.Engine == nil {
			continue
		}
		models := service.Engine.Models
		most := map[string]int{}
		for _, model := range models {
			most[model] = mostHomes(demand.Items[model], slotsOf(view.Plans[name]))
		}
		for model, ids := range c.homesOf(view, name, sharesOf(models, demand.Tokens), most) {
			open = append(open, tasksOf(c, model, view.Named[model], listed(view, ids))...)
		}
	}
	return open
}

// listed are the replicas of some ids.
func listed(view *directory.View, ids []string) []*directory.Replica {
	replicas := make([]*directory.Replica, 0, len(ids))
	for _, id := range ids {
		if replica := view.Replicas[id]; replica != nil {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// slotsOf is how many slots the smallest replica of a plan has.
func slotsOf(plan *routing.Plan) int {
	if plan == nil {
		return 1
	}
	least := 0
	for _, endpoint := range plan.Endpoints() {
		if least == 0 || endpoint.Slots < least {
			least = endpoint.Slots
		}
	}
	return max(1, least)
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

// engineReplicas counts the replicas that are model engines.
func engineReplicas(view *directory.View) int {
	if view.Configuration == nil {
		return 0
	}
	count := 0
	for name, service := range view.Configuration.Services {
		if plan := view.Plans[name]; plan != nil && service.Engine != nil {
			count += len(plan.Endpoints())
		}
	}
	return count
}
