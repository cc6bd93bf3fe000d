package weightorders

import (
	"cmp"
	"slices"
)

const (
	// replicasPerLoad limits concurrent loads to one in this many replicas, since concurrent
	// loads slow each other down. minConcurrentLoads is the lower bound of this limit.
	replicasPerLoad    = 5
	minConcurrentLoads = 2
	// homesPerOptionalLoad limits concurrent optional loads to one in this many homes of the
	// model, so that the other homes continue to accept items.
	homesPerOptionalLoad = 2
)

// maxConcurrentLoads returns the maximum number of concurrent loads for a number of replicas.
func maxConcurrentLoads(replicas int) int { return max(minConcurrentLoads, replicas/replicasPerLoad) }

// chooseLoads returns the tasks to start now. loading is the number of running loads by
// model, to which the chosen tasks are added, and maxLoads the maximum number of loads in
// all.
func chooseLoads(pending []task, loading map[string]int, maxLoads int) []task {
	running := 0
	for _, count := range loading {
		running += count
	}
	queue := newLoadQueue(pending, loading)
	var chosen []task
	for ; running < maxLoads; running++ {
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

func newLoadQueue(pending []task, loading map[string]int) *loadQueue {
	queue := &loadQueue{byModel: map[string][]task{}, loading: loading, chosen: map[Target]bool{}}
	for _, next := range pending {
		queue.byModel[next.model] = append(queue.byModel[next.model], next)
	}
	for _, tasks := range queue.byModel {
		slices.SortFunc(tasks, compareWithinModel)
	}
	return queue
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
	if tasks[0].optional && q.loading[model] >= max(minConcurrentLoads, tasks[0].homes/homesPerOptionalLoad) {
		return task{}, false
	}
	return tasks[0], true
}

// compare compares the first tasks of two models by priority.
func (q *loadQueue) compare(a, b task) int {
	return cmp.Or(
		compareRequired(a, b),
		cmp.Compare(a.upToDateFraction(q.loading), b.upToDateFraction(q.loading)),
		compareWithinModel(a, b),
	)
}
