package workqueue

import (
	"slices"
	"sync"
	"testing"
)

func TestItemsComeInOrderAndCloseLosesNone(t *testing.T) {
	queue := New[int]()
	for item := range 3 {
		queue.Add(item)
	}
	if queue.Len() != 3 {
		t.Errorf("%d items wait, want 3", queue.Len())
	}
	queue.Close()
	queue.Add(9)
	items, open := queue.Take()
	if !slices.Equal(items, []int{0, 1, 2}) || open {
		t.Errorf("took %v, open %v; want the three items added before Close, and the end", items, open)
	}
	if queue.Len() != 0 {
		t.Errorf("%d items wait after all were taken", queue.Len())
	}
}

func TestEveryItemOfManyGoroutinesIsTakenOnce(t *testing.T) {
	const adders, each = 8, 500
	queue := New[int]()
	var adding sync.WaitGroup
	for adder := range adders {
		adding.Go(func() {
			for number := range each {
				queue.Add(adder*each + number)
			}
		})
	}
	go func() {
		adding.Wait()
		queue.Close()
	}()
	var taken []int
	for open := true; open; {
		var items []int
		items, open = queue.Take()
		taken = append(taken, items...)
	}
	slices.Sort(taken)
	if len(taken) != adders*each || len(slices.Compact(taken)) != adders*each {
		t.Errorf("took %d items, want each of %d once", len(taken), adders*each)
	}
}
