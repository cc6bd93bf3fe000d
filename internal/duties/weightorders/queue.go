package weightorders

import (
	"cmp"
	"slices"
)

const (
	// loadsDivisor limits concurrent loads to one in this many replicas, since concurrent
	// loads slow each other down. minLoads is the lower bound of this limit.
	loadsDivisor = 5
	minLoads     = 2
	// aheadLoadsDivisor limits concurrent optional loads to one in this many homes of the
	// model, so that the other homes continue to accept items.
	aheadLoadsDivisor = 2
)

// loadsAtOnce returns the maximum number of concurrent loads for a number of replicas.
func loadsAtOnce(replicas int) int { return max(minLoads, replicas/loadsDivisor) }

// chooseLoads returns the tasks to start now. loading is the number of running loads by
// model, to which the chosen tasks are added, and atOnce the maximum number of loads in
// all.
func chooseLoads(open []task, loading map[string]int, atOnce int) []task {
	underWay := 0
	for _, count := range loading {
		underWay += count
	}
	queue := newLoadQueue(open, loading)
	var chosen []task
	for ; underWay < atOnce; underWay++ {
		next, found := queue.next()
		if !found {
			break
		}
		chosen = append(chosen, next)
	}
	return chosen
}

// loadQueue returns tasks in order of priority: required loads before optional ones, then
// the model with the smallest fraction of up-to-date homes, then the replica furthest
// behind, then the replica with the fewest running items. Homes that are loading count as
// up to date, so that models take turns and those with more homes load more. The tasks of
// each model are sorted once.
type loadQueue struct {
	byModel map[string][]task
	// loading is the number of running loads by model.
	loading map[string]int
	// chosen are the replicas of the tasks returned so far. A replica loads only one model
	// at a time.
	chosen map[Target]bool
}

func newLoadQueue(open []task, loading map[string]int) *loadQueue {
	made := &loadQueue{byModel: map[string][]task{}, loading: loading, chosen: map[Target]bool{}}
	for _, next := range open {
		made.byModel[next.model] = append(made.byModel[next.model], next)
	}
	for _, tasks := range made.byModel {
		slices.SortFunc(tasks, compareWithinModel)
	}
	return made
}

// next removes and returns the task with the highest priority, or false if none may start.
func (q *loadQueue) next() (task, bool) {
	best, found := task{}, false
	for model := range q.byModel {
		head, has := q.head(model)
		if has && (!found || q.compare(head, best) < 0) {
			best, found = head, true
		}
	}
	if !found {
		return task{}, false
	}
	q.byModel[best.model] = q.byModel[best.model][1:]
	q.chosen[best.target] = true
	q.loading[best.model]++
	return best, true
}

// head returns the first task of a model whose replica has not been chosen, or false if
// there is none or it would exceed the limit of optional loads.
func (q *loadQueue) head(model string) (task, bool) {
	tasks := q.byModel[model]
	for len(tasks) > 0 && q.chosen[tasks[0].target] {
		tasks = tasks[1:]
	}
	q.byModel[model] = tasks
	if len(tasks) == 0 {
		return task{}, false
	}
	if tasks[0].ahead && q.loading[model] >= max(minLoads, tasks[0].homes/aheadLoadsDivisor) {
		return task{}, false
	}
	return tasks[0], true
}

// compare compares the first tasks of two models by priority.
func (q *loadQueue) compare(a, b task) int {
	return cmp.Or(
		compareAhead(a, b),
		cmp.Compare(a.currentPart(q.loading), b.currentPart(q.loading)),
		compareWithinModel(a, b),
	)
}
