package statistics

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/wire"
)

// firstVersion is the weight version that replicas start with. Jobs that allow it tell
// nothing of how far behind later ones let the weights be.
const firstVersion = 1

// Tolerances are by how many versions the weights of models may be behind the newest:
// for each model the least that any job has allowed.
type Tolerances map[string]int64

// Observe learns from a job that allows weights from a version on, while newest is the
// newest one of the model.
func (t Tolerances) Observe(model string, minVersion, newest int64) {
	if minVersion > firstVersion {
		t.Limit(model, max(0, newest-minVersion))
	}
}

// Limit lowers the tolerance of a model to a number of versions, unless it is lower.
func (t Tolerances) Limit(model string, versions int64) {
	if current, known := t[model]; !known || versions < current {
		t[model] = versions
	}
}

// Announced returns all tolerances as heartbeats have them, in the order of the models.
func (t Tolerances) Announced() []wire.ModelTolerance {
	var announced []wire.ModelTolerance
	for _, model := range slices.Sorted(maps.Keys(t)) {
		announced = append(announced, wire.ModelTolerance{Model: model, Versions: t[model]})
	}
	return announced
}
