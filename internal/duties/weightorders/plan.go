package weightorders

import "github.com/pathtally/pathtally/internal/replicas/directory"

// home is a replica assigned to a model, with the newest version of the model that the
// replica is known to have loaded.
type home struct {
	replica *directory.Replica
	held    int64
}

// modelState holds the inputs of tasksOf.
type modelState struct {
	model string
	// named is the version that the model's trainer named last, and tolerance the number
	// of versions by which the weights may lag behind it for the model's batch jobs.
	named     int64
	tolerance int64
	homes     []home
}

// isRequired reports whether a home must load the named version because its version lags too
// far behind for new batch jobs. Other homes may skip the version, which lets replicas keep
// up if versions are named faster than they load.
func (m modelState) isRequired(held int64) bool { return held < m.named-m.tolerance }

// tasksOf returns a task for each home of a model that lacks the named version. A load is
// required if the home's version is too old for new batch jobs. Otherwise it is optional:
// done ahead, it lets the next jobs find more homes with the named version.
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

// openTasks returns the tasks of all models of all services with an engine.
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
			maxHomes[model] = homesNeeded(demand.MaxItems[model], slotsOf(view.Plans[name]))
		}
		for model, ids := range c.homesOf(view, name, sharesOf(models, demand.MeanTokens), maxHomes) {
			open = append(open, tasksOf(c.modelState(view, model, ids))...)
		}
	}
	return open
}

// modelState returns this node's knowledge of a model and its homes.
func (c *Coordinator) modelState(view *directory.View, model string, ids []string) modelState {
	known := modelState{model: model, named: view.NamedVersions[model], tolerance: c.config.Tolerance(model)}
	for _, id := range ids {
		if replica := view.Replicas[id]; replica != nil {
			known.homes = append(known.homes, home{replica: replica, held: c.version(id, model)})
		}
	}
	return known
}

// engineReplicas returns the number of replicas that are model engines.
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
