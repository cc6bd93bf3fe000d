package statistics

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/wire"
)

// firstVersion is the weight version that replicas start with. Jobs that allow it do not
// limit how far the weights may be behind.
const firstVersion = 1

// Tolerances holds, by model, by how many versions the weights may be behind the newest
// version. It is the minimum over all jobs.
type Tolerances map[string]int64

// Observe records a job that allows weights from minVersion on. newest is the newest version
// of the model.
func (t Tolerances) Observe(model string, minVersion, newest int64) {
	if minVersion > firstVersion {
		t.Limit(model, max(0, newest-minVersion))
	}
}

// Limit lowers the tolerance of a model to the given number of versions, unless it is already
// lower.
func (t Tolerances) Limit(model string, versions int64) {
	if current, known := t[model]; !known || versions < current {
		t[model] = versions
	}
}

// Announced returns the tolerances for a heartbeat, sorted by model.
func (t Tolerances) Announced() []wire.ModelTolerance {
	var announced []wire.ModelTolerance
	for _, model := range slices.Sorted(maps.Keys(t)) {
		announced = append(announced, wire.ModelTolerance{Model: model, Versions: t[model]})
	}
	return announced
}
