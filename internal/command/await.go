package command

import (
	"fmt"
	"slices"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/process"
)

const (
	// waitTimeout is how long apply -wait waits at most.
	waitTimeout      = 30 * time.Second
	waitPollInterval = 100 * time.Millisecond
)

// awaitServing waits until a generation is in force at every node and every node reports the
// declared engines as serving the declared weights. Statuses that cannot be read are retried.
func awaitServing(call *invocation, address string, generation uint64, set *v1.Set) error {
	var lastErr error = &NotInForceError{Generation: generation, Behind: []string{address}}
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(waitPollInterval) {
		statuses, err := clusterStatus(address)
		if err != nil {
			continue
		}
		if behind := nodesBehind(statuses, generation); len(behind) > 0 {
			lastErr = &NotInForceError{Generation: generation, Behind: behind}
			continue
		}
		if waiting := enginesWaiting(statuses, set); len(waiting) > 0 {
			lastErr = &NotServingError{Generation: generation, Engines: waiting}
			continue
		}
		fmt.Fprintf(call.stdout, "in force on %d nodes\n", len(statuses))
		return nil
	}
	return lastErr
}

// nodesBehind returns the nodes that are not ready or have an older generation in force.
func nodesBehind(statuses []process.Status, generation uint64) []string {
	var behind []string
	for _, found := range statuses {
		if found.Generation < generation || !found.Ready {
			behind = append(behind, found.Node)
		}
	}
	return behind
}

// enginesWaiting returns the engines that some node does not report as serving their active
// weight version, each with that node. Cordoned engines are ignored.
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

// activeVersion returns the weight version that an engine should run; 0 if none is declared.
func activeVersion(set *v1.Set, engine *v1.Engine) int64 {
	active := int64(0)
	for _, declared := range v1.All[*v1.WeightVersion](set) {
		if declared.Spec.Active && declared.Spec.Model == engine.Spec.Model && v1.Matches(declared.Spec.Engines, engine) {
			active = max(active, declared.Spec.Version)
		}
	}
	return active
}
