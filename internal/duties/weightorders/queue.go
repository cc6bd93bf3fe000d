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
	// homesPerFastLoad limits concurrent loads at fast homes to one in this many of the
	// model's fast homes, while jobs allow the versions that they have.
	homesPerFastLoad = 2
	// maxPassedOver is the number of required versions for which a replica may be passed over
	// for faster ones. Without this limit, slow replicas get no loads at all if versions are
	// named faster than all replicas can load.
	maxPassedOver = 2
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
// a model whose items wait for a replica, then the model with the smallest fraction of
// up-to-date homes, then the replicas that were passed over for too long, then the fastest
// replica, then the replica furthest behind, then the one with the fewest running items. Homes
// that are loading count as up to date, so that models take turns and those with more homes
// load more. Without speeds, no items wait and all replicas are equally fast. The tasks of each
// model are sorted once.
type loadQueue struct {
	byModel map[string][]task
	// loading is the number of running loads by model.
	loading map[string]int
	// chosen are the replicas of the tasks returned so far. A replica loads only one model
	// at a time.
	chosen map[Target]bool
	// fastChosen is the number of fast replicas among them by model.
	fastChosen map[string]int
}

func newLoadQueue(pending []task, loading map[string]int) *loadQueue {
	queue := &loadQueue{byModel: map[string][]task{}, loading: loading, chosen: map[Target]bool{}, fastChosen: map[string]int{}}
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
	best, bestPosition, found := task{}, 0, false
	for model := range q.byModel {
		position, has := q.head(model)
		if !has {
			continue
		}
		if candidate := q.byModel[model][position]; !found || q.compare(candidate, best) < 0 {
			best, bestPosition, found = candidate, position, true
		}
	}
	if !found {
		return task{}, false
	}
	if bestPosition == 0 {
		q.byModel[best.model] = q.byModel[best.model][1:]
	} else {
		q.byModel[best.model] = slices.Delete(q.byModel[best.model], bestPosition, bestPosition+1)
	}
	q.chosen[best.target] = true
	q.loading[best.model]++
	if best.speed.fast {
		q.fastChosen[best.model]++
	}
	return best, true
}

// head returns the position of the first task of a model that may start, or false if there
// is none.
func (q *loadQueue) head(model string) (int, bool) {
	tasks := q.byModel[model]
	for len(tasks) > 0 && q.chosen[tasks[0].target] {
		tasks = tasks[1:]
	}
	q.byModel[model] = tasks
	for position, candidate := range tasks {
		if candidate.optional && q.loading[model] >= max(minConcurrentLoads, candidate.homes/homesPerOptionalLoad) {
			return 0, false
		}
		if !q.chosen[candidate.target] && !q.exceedsFastLoads(candidate) {
			return position, true
		}
	}
	return 0, false
}

// exceedsFastLoads reports whether a load would exceed the limit of loads at fast homes of
// its model.
func (q *loadQueue) exceedsFastLoads(candidate task) bool {
	speed := candidate.speed
	return speed.fast && speed.maxFastLoads > 0 && speed.fastLoads+q.fastChosen[candidate.model] >= speed.maxFastLoads
}

// compare compares the first tasks of two models by priority.
func (q *loadQueue) compare(a, b task) int {
	return cmp.Or(
		compareRequired(a, b),
		compareAwaited(a, b, q.loading),
		cmp.Compare(a.upToDateFraction(q.loading), b.upToDateFraction(q.loading)),
		compareWithinModel(a, b),
	)
}
