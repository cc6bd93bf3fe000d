package batch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/standin/metastore"
)

func TestIsNearlyComplete(t *testing.T) {
	for _, test := range []struct {
		name     string
		desired  int
		groups   int
		complete int
		nearly   bool
	}{
		{"none complete", 10, 12, 0, false},
		{"half complete", 10, 12, 5, false},
		{"most complete", 10, 12, 8, true},
		{"more desired than submitted", 20, 10, 8, true},
		{"no desired number, none complete", 0, 10, 0, false},
		{"no desired number, one complete", 0, 10, 1, true},
	} {
		held := &job{submission: &Submission{Desired: test.desired}, groups: map[string]*group{}}
		for number := range test.groups {
			open := 1
			if number < test.complete {
				open = 0
			}
			held.groups[fmt.Sprint(number)] = &group{open: open}
		}
		if got := held.isNearlyComplete(); got != test.nearly {
			t.Errorf("%s: nearly complete %t", test.name, got)
		}
	}
}

// Results and texts must share appends while the trainer waits for many groups, and the
// last results that it waits for must be appended at once.
func TestResultsAndTextsShareAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := metastore.New()
		service := NewService(ctx, Config{
			Clock:    clock.Monotonic,
			JobStore: jobstore.New(store), Directory: directory.NewTable("node", "zone", nil, klog.Background()), Logger: klog.Background(), Registry: prometheus.NewRegistry(),
		})
		held := &job{
			id: "job", submission: &Submission{Desired: 2}, items: map[string]*item{}, groups: map[string]*group{},
			flush: make(chan struct{}, 1), changed: make(chan struct{}), ctx: ctx, cancel: cancel, appends: ctx, startedAt: time.Now(),
		}
		// Each group has one long item, which finishes last.
		for number := range 42 {
			id := fmt.Sprint(number)
			name := fmt.Sprint(number % 2)
			if held.groups[name] == nil {
				held.groups[name] = &group{}
			}
			held.groups[name].open++
			held.items[id] = &item{Item: &Item{ID: id, Group: name}, job: held, group: held.groups[name]}
			held.order = append(held.order, id)
		}
		finish := func(id string) {
			service.mutex.Lock()
			defer service.mutex.Unlock()
			service.scheduler.finish(held.items[id], jobstore.Result{ID: id, State: jobstore.Succeeded})
		}
		go service.publish(held)
		for number := range 40 {
			time.Sleep(100 * time.Millisecond)
			service.mutex.Lock()
			for range 2 {
				held.items["40"].progress.add("e", 1)
			}
			service.mutex.Unlock()
			finish(fmt.Sprint(number))
		}
		if chunks := store.Calls("create"); chunks > 4 {
			t.Errorf("%d appends in four seconds, want at most 4", chunks)
		}
		if saved := held.items["40"].savedEvents; saved < 50 {
			t.Errorf("%d of 80 events are saved, want at least 50", saved)
		}
		finish("40")
		finish("41")
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if len(held.listed) != 42 {
			t.Errorf("%d of 42 results are listed 0.1 s after the last one finished", len(held.listed))
		}
		cancel()
	})
}

// Readers come back half a second after each response, so results listed shortly before
// the last desired group would delay that group.
func TestCoalesceDelayBeforeLastDesiredGroup(t *testing.T) {
	now := time.Now()
	const longest = 146
	for _, test := range []struct {
		name      string
		complete  int
		due       time.Time
		inherited bool
		events    int
		soon      bool
		limit     time.Duration
	}{
		{"most complete, due later", 9, now.Add(2 * time.Second), false, 80, false, coalesceDelay},
		{"most complete, last one about to end", 9, now.Add(2 * time.Second), false, 140, false, coalesceDelay + endingTextCoalesceDelay},
		{"fewer complete, two about to end", 8, now.Add(2 * time.Second), false, 140, false, coalesceDelay},
		{"most complete, just due", 9, now.Add(-lateGrace / 2), false, 80, false, coalesceDelayNearDeadline},
		{"most complete, late", 9, now.Add(-time.Second), false, 80, true, coalesceDelayNearDeadline},
		{"most complete, no deadline", 9, time.Time{}, false, 140, true, coalesceDelay},
		{"half complete, late", 5, now.Add(-time.Second), false, 80, false, coalesceDelayNearDeadline},
		{"desired number complete", 10, now.Add(2 * time.Second), false, 80, true, coalesceDelay},
		{"desired number complete, inherited group open", 10, now.Add(2 * time.Second), true, 80, false, coalesceDelay},
		{"desired number complete, inherited group about to end", 10, now.Add(2 * time.Second), true, 140, false, coalesceDelay + endingTextCoalesceDelay},
	} {
		held := &job{submission: &Submission{Desired: 10}, deadline: test.due, flushSoon: true, groups: map[string]*group{}, items: map[string]*item{}}
		for number := range 12 {
			name, counted := fmt.Sprint(number), &group{}
			if number >= test.complete {
				counted.open, counted.inherited = 1, test.inherited && number == test.complete
				held.items[name] = &item{Item: &Item{ID: name}, group: counted}
			}
			held.groups[name] = counted
		}
		if next := held.items[fmt.Sprint(test.complete)]; next != nil {
			next.recordedEvents = test.events
		}
		if soon, limit := held.shouldListSoon(now), held.maxCoalesceDelay(now, longest); soon != test.soon || limit != test.limit {
			t.Errorf("%s: list soon %t, delay %s", test.name, soon, limit)
		}
	}
}
