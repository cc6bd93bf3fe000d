package command

import (
	"fmt"
	"slices"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/process"
)

const (
	// waitLimit bounds how long apply waits for engines that serve.
	waitLimit        = 30 * time.Second
	waitPollInterval = 100 * time.Millisecond
)

// awaitServing returns when a generation is in force at every node and each
// node sees the declared engines serve on the declared weights.
func awaitServing(call *invocation, address string, generation uint64, set *v1.Set) error {
	var failure error = &NotInForceError{Generation: generation, Behind: []string{address}}
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(waitPollInterval) {
		statuses, err := clusterStatus(address)
		if err != nil {
			continue
		}
		if behind := nodesBehind(statuses, generation); len(behind) > 0 {
			failure = &NotInForceError{Generation: generation, Behind: behind}
			continue
		}
		if waiting := enginesWaiting(statuses, set); len(waiting) > 0 {
			failure = &NotServingError{Generation: generation, Engines: waiting}
			continue
		}
		fmt.Fprintf(call.stdout, "in force on %d nodes\n", len(statuses))
		return nil
	}
	return failure
}

// nodesBehind lists the nodes that have an older generation in force, or are
// not ready.
func nodesBehind(statuses []process.Status, generation uint64) []string {
	var behind []string
	for _, found := range statuses {
		if found.Generation < generation || !found.Ready {
			behind = append(behind, found.Node)
		}
	}
	return behind
}

// enginesWaiting lists the engines that a node does not see serve on the
// weights that are to be active. Cordoned engines are not waited for.
func enginesWaiting(statuses []process.Status, set *v1.Set) []string {
	declared := map[string]*v1.Engine{}
	for _, engine := range v1.All[*v1.Engine](set) {
		declared[engine.Metadata.Name] = engine
	}
	var waiting []string
	for _, found := range statuses {
		for _, engine := range found.Engines {
			wanted := declared[engine.Name]
			if wanted == nil || wanted.Spec.Cordoned {
				continue
			}
			if engine.Excluded || engine.Version < activeVersion(set, wanted) {
				waiting = append(waiting, engine.Name+" at "+found.Node)
			}
		}
	}
	slices.Sort(waiting)
	return waiting
}

// activeVersion is the weight version that an engine is to run, 0 for any.
func activeVersion(set *v1.Set, engine *v1.Engine) int64 {
	active := int64(0)
	for _, declared := range v1.All[*v1.WeightVersion](set) {
		if declared.Spec.Active && declared.Spec.Model == engine.Spec.Model && v1.Matches(declared.Spec.Engines, engine) {
			active = max(active, declared.Spec.Version)
		}
	}
	return active
}
