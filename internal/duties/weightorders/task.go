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

// compareWithinModel compares tasks of one model, or of models with equal priority: required
// loads first, then the replica furthest behind, then the one with the fewest running
// items.
func compareWithinModel(a, b task) int {
	return cmp.Or(
		compareRequired(a, b),
		cmp.Compare(b.version-b.loadedVersion, a.version-a.loadedVersion),
		cmp.Compare(a.runningItems, b.runningItems),
		cmp.Compare(a.target.ID, b.target.ID),
	)
}
