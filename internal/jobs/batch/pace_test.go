package batch

import (
	"errors"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
)

// newPacedPlacement returns a service that has observed replicas with the given intervals
// between events, in milliseconds.
func newPacedPlacement(intervals ...int) (*Service, *item) {
	service, waiting := newPlacement(len(intervals))
	for number, interval := range intervals {
		state := service.replicas.GetOrCreate(replicaName(number))
		state.Pace, state.ObservedAt = placement.NewPace(time.Duration(interval)*time.Millisecond), time.Now()
	}
	return service, waiting
}

func TestIntervalPrefersFreshOwnPace(t *testing.T) {
	service, _ := newPacedPlacement(40, 40, 40)
	service.replicas.SlotUse["other"] = replicastate.NodeSlotUse{ReceivedAt: time.Now(), Intervals: map[string]time.Duration{replicaName(0): 140 * time.Millisecond}}
	state := service.replicas.GetOrCreate(replicaName(0))
	for _, test := range []struct {
		name string
		age  time.Duration
		want time.Duration
	}{
		{"observed recently", 0, 40 * time.Millisecond},
		{"observed some time ago", 2 * replicastate.FreshPaceAge, 140 * time.Millisecond},
	} {
		state.ObservedAt = time.Now().Add(-test.age)
		if got := service.replicas.Interval(replicaName(0), state); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
	delete(service.replicas.SlotUse, "other")
	if got := service.replicas.Interval(replicaName(0), state); got != 40*time.Millisecond {
		t.Errorf("interval observed by no other node: %s", got)
	}
	state.ObservedAt = time.Now().Add(-2 * replicastate.PaceRetention)
	if got := service.replicas.Interval(replicaName(0), state); got != 0 {
		t.Errorf("interval observed long ago: %s", got)
	}
}

func TestSlowReplicasAreUsedLast(t *testing.T) {
	service, waiting := newPacedPlacement(40, 40, 40, 52, 140)
	pool := service.scheduler.newPool()
	placed := map[string]int{}
	for range 3 * pool.view.Plans["engines"].Endpoints()[0].Slots {
		chosen := pool.pick(waiting)
		chosen.Load++
		placed[chosen.Name]++
	}
	if placed[replicaName(4)] > 0 {
		t.Errorf("slow replica got %d items while others had free slots", placed[replicaName(4)])
	}
	if most := max(placed[replicaName(0)], placed[replicaName(1)], placed[replicaName(2)]); placed[replicaName(3)] >= most {
		t.Errorf("slower replica got %d items, the fast ones at most %d", placed[replicaName(3)], most)
	}
}

// addRun adds a run of an item at a replica, with a number of events received.
func (s *Service) addRun(replica string, events int64, work *item) *itemRun {
	pool := s.scheduler.newPool()
	for _, candidate := range pool.replicasFor(work) {
		if candidate.Name == replica {
			added := &itemRun{item: work, endpoint: pool.endpoints[replica], startedAt: time.Now()}
			added.events.Store(events)
			work.currentRun = added
			s.scheduler.runs[added] = true
			s.replicas.GetOrCreate(replica).Running++
			return added
		}
	}
	panic("replica is not among the candidates")
}

func TestMovesToFasterReplicas(t *testing.T) {
	for _, test := range []struct {
		name      string
		intervals []int
		events    int64
		expected  int
		moved     bool
	}{
		{"long run at a slow replica", []int{140, 40, 40}, 50, 0, true},
		{"short run at a slow replica", []int{140, 40, 40}, 3, 0, false},
		{"short run with a long expected length", []int{52, 40, 40}, 3, 100, true},
		{"nearly finished", []int{140, 40, 40}, 99, 100, false},
		{"similar paces", []int{43, 40, 40}, 100, 0, false},
		{"too few paces to compare", []int{140, 40}, 0, 0, false},
	} {
		service, work := newPacedPlacement(test.intervals...)
		work.expectedEvents = test.expected
		run := service.addRun(replicaName(0), test.events, work)
		moved := false
		run.cancel = func(reason error) { moved = errors.Is(reason, ErrMoved) }
		pool := service.scheduler.newPool()
		move([]*itemRun{run}, placement.Moves(pool.paces, []*placement.Run{pool.runOf(0, run)}))
		if moved != test.moved {
			t.Errorf("%s: moved %t", test.name, moved)
		}
	}
}
