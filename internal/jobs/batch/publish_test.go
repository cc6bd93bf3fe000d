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

func TestGroupsAreListedWithoutDelayOnceMostAreWhole(t *testing.T) {
	for _, test := range []struct {
		name    string
		desired int
		groups  int
		whole   int
		nearly  bool
	}{
		{"none whole", 10, 12, 0, false},
		{"half whole", 10, 12, 5, false},
		{"most whole", 10, 12, 8, true},
		{"more desired than there are", 20, 10, 8, true},
		{"no trainer, none whole", 0, 10, 0, false},
		{"no trainer, one whole", 0, 10, 1, true},
	} {
		held := &job{submission: &Submission{Desired: test.desired}, groups: map[string]*group{}}
		for number := range test.groups {
			open := 1
			if number < test.whole {
				open = 0
			}
			held.groups[fmt.Sprint(number)] = &group{open: open}
		}
		if got := held.nearlyWhole(); got != test.nearly {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}

// Results and texts must share appends while the trainer waits for many groups, and the
// last results that it waits for must be appended at once.
func TestResultsAndTextsAreAppendedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := metastore.New()
		service := NewService(ctx, Config{
			Clock:    clock.Steady,
			JobStore: jobstore.New(store), Directory: directory.NewTable("node", "zone", nil, klog.Background()), Logger: klog.Background(), Registry: prometheus.NewRegistry(),
		})
		held := &job{
			id: "job", submission: &Submission{Desired: 2}, items: map[string]*item{}, groups: map[string]*group{},
			flush: make(chan struct{}, 1), changed: make(chan struct{}), ctx: ctx, cancel: cancel, appends: ctx, takenUp: time.Now(),
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
			t.Errorf("%d appends in four seconds", chunks)
		}
		if saved := held.items["40"].saved; saved < 50 {
			t.Errorf("%d of 80 events are saved", saved)
		}
		finish("40")
		finish("41")
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if len(held.listed) != 42 {
			t.Errorf("%d of 42 results are listed 0.1 s after the last", len(held.listed))
		}
		cancel()
	})
}

// Readers come back half a second after each response, so results listed shortly before
// the last desired group would delay that group.
func TestResultsBeforeTheLastDesiredGroupAreListedWithIt(t *testing.T) {
	now := time.Now()
	const longest = 146
	for _, test := range []struct {
		name    string
		whole   int
		due     time.Time
		carried bool
		events  int
		soon    bool
		limit   time.Duration
	}{
		{"most whole, due later", 9, now.Add(2 * time.Second), false, 80, false, resultGather},
		{"most whole, the last about to end", 9, now.Add(2 * time.Second), false, 140, false, resultGather + endGather},
		{"fewer whole, two about to end", 8, now.Add(2 * time.Second), false, 140, false, resultGather},
		{"most whole, just due", 9, now.Add(-lateGrace / 2), false, 80, false, dueGather},
		{"most whole, late", 9, now.Add(-time.Second), false, 80, true, dueGather},
		{"most whole, no time named", 9, time.Time{}, false, 140, true, resultGather},
		{"half whole, late", 5, now.Add(-time.Second), false, 80, false, dueGather},
		{"as many whole as desired", 10, now.Add(2 * time.Second), false, 80, true, resultGather},
		{"as many whole as desired, not one that came back", 10, now.Add(2 * time.Second), true, 80, false, resultGather},
		{"as many whole as desired, one that came back about to end", 10, now.Add(2 * time.Second), true, 140, false, resultGather + endGather},
	} {
		held := &job{submission: &Submission{Desired: 10}, due: test.due, flushSoon: true, groups: map[string]*group{}, items: map[string]*item{}}
		for number := range 12 {
			name, made := fmt.Sprint(number), &group{}
			if number >= test.whole {
				made.open, made.inherited = 1, test.carried && number == test.whole
				held.items[name] = &item{Item: &Item{ID: name}, group: made}
			}
			held.groups[name] = made
		}
		if next := held.items[fmt.Sprint(test.whole)]; next != nil {
			next.events = test.events
		}
		if soon, limit := held.listsSoon(now), held.gatherTime(now, longest); soon != test.soon || limit != test.limit {
			t.Errorf("%s: %t within %s", test.name, soon, limit)
		}
	}
}
