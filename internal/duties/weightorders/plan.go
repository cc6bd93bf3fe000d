package weightorders

import "github.com/pathtally/pathtally/internal/replicas/directory"

// home is a replica assigned to a model, with the newest version of the model that the
// replica is known to have loaded.
type home struct {
	replica       *directory.Replica
	loadedVersion int64
}

// modelState holds the inputs of tasksOf.
type modelState struct {
	model string
	// namedVersion is the version that the model's trainer named last, and tolerance the
	// number of versions by which the weights may lag behind it for the model's batch jobs.
	namedVersion int64
	tolerance    int64
	homes        []home
	// speeds is nil if the speeds of the service's replicas do not count. waitingItems is the
	// number of items that wait for a replica, and fastLoads the number of fast homes that are
	// loading the model.
	speeds       *speeds
	waitingItems int
	fastLoads    int
}

// isRequired reports whether a home must load the named version because its version lags too
// far behind for new batch jobs. Other homes may skip the version, which lets replicas keep
// up if versions are named faster than they load.
func (m modelState) isRequired(loadedVersion int64) bool {
	return loadedVersion < m.namedVersion-m.tolerance
}

// tasksOf returns a task for each home of a model that lacks the named version. A load is
// required if the home's version is too old for new batch jobs. Otherwise it is optional:
// done ahead, it lets the next jobs find more homes with the named version.
func tasksOf(state modelState) []task {
	var pending []task
	requiredLoads := 0
	for _, home := range state.homes {
		if home.loadedVersion >= state.namedVersion {
			continue
		}
		required := state.isRequired(home.loadedVersion)
		if required {
			requiredLoads++
		}
		pending = append(pending, task{target: targetOf(home.replica), model: state.model, version: state.namedVersion, loadedVersion: home.loadedVersion, optional: !required})
	}
	for i := range pending {
		pending[i].upToDateHomes, pending[i].homes = len(state.homes)-requiredLoads, len(state.homes)
	}
	if state.speeds != nil {
		addSpeeds(pending, state)
	}
	return pending
}

// addSpeeds adds the speeds of the replicas to the tasks of a model.
func addSpeeds(pending []task, state modelState) {
	fastHomes := 0
	slots := map[string]int{}
	for _, home := range state.homes {
		slots[home.replica.ID] = max(1, home.replica.Slots)
		if state.speeds.isFast(home.replica.ID) {
			fastHomes++
		}
	}
	for i := range pending {
		replica, lag := pending[i].target.ID, pending[i].version-pending[i].loadedVersion
		pending[i].speed = taskSpeed{
			overdue: lag > state.tolerance+maxPassedOver,
			class:   state.speeds.classOf(replica), fast: state.speeds.isFast(replica), slots: slots[replica], waitingItems: state.waitingItems,
			maxFastLoads: maxFastLoads(fastHomes, state.tolerance, lag), fastLoads: state.fastLoads,
		}
	}
}

// pendingTasks returns the tasks of all models of all services with an engine.
func (c *Coordinator) pendingTasks(view *directory.View, demand Demand) []task {
	if view.Configuration == nil {
		return nil
	}
	var pending []task
	waiting := c.waitingItems()
	for name, service := range view.Configuration.Services {
		if service.Engine == nil {
			continue
		}
		models := service.Engine.Models
		maxHomes := map[string]int{}
		for _, model := range models {
			maxHomes[model] = homesNeeded(demand.MaxItems[model], minSlots(view.Plans[name]))
		}
		for model, ids := range c.homeIDs(view, name, sharesOf(models, demand.MeanTokens), maxHomes) {
			state := c.modelState(view, model, ids)
			if known := c.speeds.current[name]; known != nil {
				state.speeds, state.waitingItems, state.fastLoads = known, waiting[model], c.fastLoads(model, known)
			}
			pending = append(pending, tasksOf(state)...)
		}
	}
	return pending
}

// modelState returns this node's knowledge of a model and its homes.
func (c *Coordinator) modelState(view *directory.View, model string, ids []string) modelState {
	state := modelState{model: model, namedVersion: view.NamedVersions[model], tolerance: c.config.Tolerance(model)}
	for _, id := range ids {
		if replica := view.Replicas[id]; replica != nil {
			state.homes = append(state.homes, home{replica: replica, loadedVersion: c.knownVersion(id, model)})
		}
	}
	return state
}

// countEngineReplicas returns the number of replicas that are model engines.
func countEngineReplicas(view *directory.View) int {
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
