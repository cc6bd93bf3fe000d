package weightorders

import (
	"cmp"
	"slices"
)

const (
	// loadsDivisor gives the part of the replicas that may load at a time, one in so
	// many, and minLoads how many may in any case: more at a time take longer each.
	loadsDivisor = 5
	minLoads     = 2
	// aheadLoadsDivisor gives the part of a model's homes that may load ahead of need
	// at a time, one in so many: the others go on taking items.
	aheadLoadsDivisor = 2
)

// loadsAtOnce returns how many of some replicas may load at a time.
func loadsAtOnce(replicas int) int { return max(minLoads, replicas/loadsDivisor) }

// chooseLoads returns the tasks to start now, where loading gives how many replicas load
// each model already and atOnce how many may load in all. It counts the chosen ones in
// loading.
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

// loadQueue hands out tasks in the order in which they are to be done: those that must
// before those done ahead; of the model with the smallest part of its homes current, those
// that load now among them, so that no model waits for all loads of another and one with
// more work gets more; then of the replica furthest behind, then of the least used. Each
// model's tasks are sorted once.
type loadQueue struct {
	byModel map[string][]task
	// loading is how many replicas load each model now.
	loading map[string]int
	// chosen are the replicas that have a task: none loads two models at once.
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

// next takes the task that is to be done next; false if there is none.
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

// head is the first task of a model whose replica has none yet.
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

// compare orders the first tasks of two models.
func (q *loadQueue) compare(a, b task) int {
	return cmp.Or(
		compareAhead(a, b),
		cmp.Compare(a.currentPart(q.loading), b.currentPart(q.loading)),
		compareWithinModel(a, b),
	)
}
