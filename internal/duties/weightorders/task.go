package weightorders

import "cmp"

// task is a pending load of a version of a model by a replica.
type task struct {
	target Target
	model  string
	// version is the named version, and loadedVersion the newest version that the replica
	// is known to have loaded.
	version       int64
	loadedVersion int64
	// upToDateHomes is the number of homes of the model without a required load, and homes
	// the number of all its homes.
	upToDateHomes int
	homes         int
	// optional is set if new jobs accept the version that the replica has loaded.
	optional bool
	// runningItems is the number of items that run at the replica.
	runningItems int
	// speed is the zero value if the speeds of the service's replicas do not count.
	speed taskSpeed
}

// taskSpeed is what a task's place in the order depends on if the speeds of the service's
// replicas count.
type taskSpeed struct {
	// class is the speed class of the replica, smaller ones faster, and fast whether the
	// replica counts as fast.
	class int
	fast  bool
	// overdue is set if the replica has been passed over for maxPassedOver versions, so that it
	// loads before faster ones.
	overdue bool
	// slots is the number of slots of the replica.
	slots int
	// waitingItems is the number of the model's items that wait for a replica.
	waitingItems int
	// maxFastLoads is the maximum number of the model's fast homes that load at a time, 0 for
	// no limit, and fastLoads the number of those that are loading.
	maxFastLoads int
	fastLoads    int
}

// maxFastLoads returns the maximum number of fast homes of a model that load at a time, 0
// for no limit: half of them if open jobs allow the version that the home has, so that the
// others keep running items. lag is the number of versions by which the home is behind. Jobs
// of the step before allow one version more than new ones.
func maxFastLoads(fastHomes int, tolerance, lag int64) int {
	if tolerance <= 0 || fastHomes == 0 || lag > tolerance+1 {
		return 0
	}
	return max(1, fastHomes/homesPerFastLoad)
}

// isAwaited reports whether more of the model's items wait than the loads that are running
// or chosen will provide slots for.
func (t task) isAwaited(loading map[string]int) bool {
	return !t.optional && t.speed.waitingItems > loading[t.model]*t.speed.slots
}

// compareAwaited sorts loads that items wait for before others.
func compareAwaited(a, b task, loading map[string]int) int {
	switch awaitedA, awaitedB := a.isAwaited(loading), b.isAwaited(loading); {
	case awaitedA == awaitedB:
		return 0
	case awaitedA:
		return -1
	}
	return 1
}

// upToDateFraction returns the fraction of the model's homes that either need no required
// load or are loading.
func (t task) upToDateFraction(loading map[string]int) float64 {
	return float64(t.upToDateHomes+loading[t.model]) / float64(t.homes)
}

// compareRequired sorts required loads before optional ones.
func compareRequired(a, b task) int {
	switch {
	case a.optional == b.optional:
		return 0
	case b.optional:
		return -1
	}
	return 1
}

// compareOverdue sorts loads of replicas that were passed over for too long before others.
func compareOverdue(a, b task) int {
	switch {
	case a.speed.overdue == b.speed.overdue:
		return 0
	case a.speed.overdue:
		return -1
	}
	return 1
}

// compareWithinModel compares tasks of one model, or of models with equal priority: required
// loads first, then replicas that are overdue, then the fastest replica, then the one furthest
// behind, then the one with the fewest running items.
func compareWithinModel(a, b task) int {
	return cmp.Or(
		compareRequired(a, b),
		compareOverdue(a, b),
		cmp.Compare(a.speed.class, b.speed.class),
		cmp.Compare(b.version-b.loadedVersion, a.version-a.loadedVersion),
		cmp.Compare(a.runningItems, b.runningItems),
		cmp.Compare(a.target.ID, b.target.ID),
	)
}
