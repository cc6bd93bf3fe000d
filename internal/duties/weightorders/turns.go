package weightorders

import (
	"cmp"
	"slices"
)

// turns hands out tasks in the order in which they are to be done: those that must before
// those done ahead; of the model with the smallest part of its replicas current, those
// that load now among them, so that no model waits for all loads of another and
// one with more work gets more; then of the replica furthest behind, then of the
// least used. Each model's tasks are sorted once.
type turns struct {
	byModel map[string][]task
	// loading is how many replicas load each model now.
	loading map[string]int
	// given are the replicas that have got an order in this round.
	given map[Target]bool
}

func newTurns(open []task, loading map[string]int) *turns {
	made := &turns{byModel: map[string][]task{}, loading: loading, given: map[Target]bool{}}
	for _, next := range open {
		made.byModel[next.model] = append(made.byModel[next.model], next)
	}
	for _, tasks := range made.byModel {
		slices.SortFunc(tasks, compareWithinModel)
	}
	return made
}

// aheadDivisor gives the part of a model's replicas that load ahead of need at a time,
// one in so many: the others go on taking items.
const aheadDivisor = 2

// next takes the task that is to be done next; false if there is none.
func (t *turns) next() (task, bool) {
	best, found := task{}, false
	for model := range t.byModel {
		head, has := t.head(model)
		if has && (!found || t.compare(head, best) < 0) {
			best, found = head, true
		}
	}
	if !found {
		return task{}, false
	}
	t.byModel[best.model] = t.byModel[best.model][1:]
	t.given[best.target] = true
	t.loading[best.model]++
	return best, true
}

// head is the first task of a model whose replica has got no order.
func (t *turns) head(model string) (task, bool) {
	tasks := t.byModel[model]
	for len(tasks) > 0 && t.given[tasks[0].target] {
		tasks = tasks[1:]
	}
	t.byModel[model] = tasks
	if len(tasks) == 0 {
		return task{}, false
	}
	if tasks[0].ahead && t.loading[model] >= max(leastLoads, tasks[0].kept/aheadDivisor) {
		return task{}, false
	}
	return tasks[0], true
}

// compare orders the first tasks of two models.
func (t *turns) compare(a, b task) int {
	return cmp.Or(
		placeOf(a.ahead)-placeOf(b.ahead),
		cmp.Compare(a.part(t.loading), b.part(t.loading)),
		compareWithinModel(a, b),
	)
}

// compareWithinModel orders tasks of which neither model has to wait for the other.
func compareWithinModel(a, b task) int {
	return cmp.Or(
		placeOf(a.ahead)-placeOf(b.ahead),
		cmp.Compare(b.version-b.has, a.version-a.has),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.target.ID, b.target.ID),
	)
}
