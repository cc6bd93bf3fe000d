package weightorders

import "github.com/pathtally/pathtally/internal/replicas/directory"

// home is a replica that keeps up with a model, and the newest version of it that the
// replica is known to have.
type home struct {
	replica *directory.Replica
	held    int64
}

// modelState is what decides which homes of a model need a load.
type modelState struct {
	model string
	// named is the version that the model's trainer has named last, and tolerance by
	// how many versions the model's batch jobs let the weights be behind.
	named     int64
	tolerance int64
	homes     []home
}

// isRequired reports whether a home has to be brought to the named version. One that a new
// batch job would take as it is can do without: where loads are slower than versions,
// replicas that skip some still keep up.
func (m modelState) isRequired(held int64) bool { return held < m.named-m.tolerance }

// tasksOf returns the homes of one model that lack its named version. Those that new batch
// jobs would not take as they are have to be brought to it. The others may be brought to it
// ahead, so that the next job finds more of them ready.
func tasksOf(known modelState) []task {
	var open []task
	lacking := 0
	for _, home := range known.homes {
		if home.held >= known.named {
			continue
		}
		required := known.isRequired(home.held)
		if required {
			lacking++
		}
		open = append(open, task{target: targetOf(home.replica), model: known.model, version: known.named, held: home.held, ahead: !required})
	}
	for i := range open {
		open[i].currentHomes, open[i].homes = len(known.homes)-lacking, len(known.homes)
	}
	return open
}

// openTasks returns all replicas that lack the named version of a model of which they are
// homes.
func (c *Coordinator) openTasks(view *directory.View, demand Demand) []task {
	if view.Configuration == nil {
		return nil
	}
	var open []task
	for name, service := range view.Configuration.Services {
		if service.Engine == nil {
			continue
		}
		models := service.Engine.Models
		maxHomes := map[string]int{}
		for _, model := range models {
			maxHomes[model] = homesNeeded(demand.Items[model], slotsOf(view.Plans[name]))
		}
		for model, ids := range c.homesOf(view, name, sharesOf(models, demand.Tokens), maxHomes) {
			open = append(open, tasksOf(c.modelState(view, model, ids))...)
		}
	}
	return open
}

// modelState is what this node knows of a model and its homes.
func (c *Coordinator) modelState(view *directory.View, model string, ids []string) modelState {
	known := modelState{model: model, named: view.NamedVersions[model], tolerance: c.config.Tolerance(model)}
	for _, id := range ids {
		if replica := view.Replicas[id]; replica != nil {
			known.homes = append(known.homes, home{replica: replica, held: c.version(id, model)})
		}
	}
	return known
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
