package placement

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// Guards against items that a competing job's step needs and that wait behind others.
func TestCompareCompetingItems(t *testing.T) {
	const s = time.Second
	deadline := time.Unix(1000, 0)
	base := Item{Competes: true, Deadline: deadline, JobStarted: deadline, TimeLeft: 6 * s, Objective: testObjective, ExpectedRunTime: s}
	with := func(change func(*Item)) Item {
		item := base
		change(&item)
		return item
	}
	atRisk := func(item *Item) { item.TimeLeft = 1900 * time.Millisecond }
	for _, test := range []struct {
		name          string
		first, second Item
	}{
		{"priority before all", with(func(i *Item) { i.Yields = true }), with(func(i *Item) { i.Priority, i.Waited, i.TimeLeft = 1, 20*s, -s })},
		{"passed over before at risk", with(func(i *Item) { i.Waited, i.TimeLeft, i.Yields = 9*s, -s, true }), with(atRisk)},
		{"not passed over before the step is due", with(atRisk), with(func(i *Item) { i.Waited = 9 * s })},
		{"passed over longest first", with(func(i *Item) { i.Waited, i.TimeLeft = 10*s, -s }), with(func(i *Item) { i.Waited, i.TimeLeft = 9*s, -s })},
		{"at risk before long with slack", with(atRisk), with(func(i *Item) { i.ExpectedRunTime = 4 * s })},
		{"at risk by lag", with(func(i *Item) { atRisk(i); i.Lag = 2 * s }), with(func(i *Item) { atRisk(i); i.Deadline = deadline.Add(-s / 2) })},
		{"small differences of lags don't count", with(func(i *Item) { atRisk(i); i.Deadline = deadline.Add(-s / 2) }), with(func(i *Item) { atRisk(i); i.Lag = s / 2 })},
		{"can be in time before yielding", base, with(func(i *Item) { i.Yields, i.Rank = true, -1 })},
		{"can be in time before an item that cannot", base, with(func(i *Item) { i.ExpectedRunTime, i.Rank = 12*s, -1 })},
		{"late only if the length is right", with(func(i *Item) { i.ExpectedRunTime = 11 * s }), with(func(i *Item) { i.ExpectedRunTime = 12 * s })},
		{"yielding by lag", with(func(i *Item) { i.Yields, i.Lag, i.Rank = true, 2*s, 1 }), with(func(i *Item) { i.Yields = true })},
		{"lag before rank", with(func(i *Item) { i.Lag, i.Rank = 2*s, 1 }), base},
		{"age before lag", with(func(i *Item) { i.JobStarted = deadline.Add(-ageStep) }), with(func(i *Item) { i.Lag = 9 * s })},
		{"reserve items are not at risk", base, with(func(i *Item) { atRisk(i); i.Reserve, i.Rank = true, 1 })},
	} {
		if Compare(test.first, test.second) >= 0 || Compare(test.second, test.first) <= 0 {
			t.Errorf("%s: the first item does not run first", test.name)
		}
	}
}

// Guards against steps that yield although they could be in time, or that hold slots in vain.
func TestCanBeInTime(t *testing.T) {
	intervals := map[string]time.Duration{"a": 40 * time.Millisecond, "b": 50 * time.Millisecond, "c": 83 * time.Millisecond}
	paces := NewPaces(intervals).WithUsual(intervals, nil)
	for _, test := range []struct {
		name string
		step Step
		want bool
	}{
		{"enough complete groups", Step{TimeLeft: -9 * time.Second, Desired: 2, Complete: 2, Unfinished: []StepGroup{{RemainingEvents: 100}}}, true},
		{"a late group that is not needed", Step{TimeLeft: time.Second, Desired: 1, Unfinished: []StepGroup{{RemainingEvents: 20}, {RemainingEvents: 150}}}, true},
		{"a late group that is needed", Step{TimeLeft: time.Second, Desired: 2, Unfinished: []StepGroup{{RemainingEvents: 20}, {RemainingEvents: 150}}}, false},
		{"a late inherited group", Step{TimeLeft: time.Second, Desired: 1, Unfinished: []StepGroup{{RemainingEvents: 20}, {RemainingEvents: 150, Inherited: true}}}, false},
		{"just in time with a shorter text", Step{TimeLeft: time.Second, Desired: 1, Unfinished: []StepGroup{{RemainingEvents: 80}}}, true},
		{"late with a shorter text", Step{TimeLeft: time.Second, Desired: 1, Unfinished: []StepGroup{{RemainingEvents: 81}}}, false},
	} {
		if got := paces.CanBeInTime(test.step); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
	if !(Paces{}).CanBeInTime(Step{Desired: 1, Unfinished: []StepGroup{{RemainingEvents: 500}}}) {
		t.Error("a step yields although no pace is known")
	}
}

// Guards against slots that stay free because each owner leaves them to another, and against
// items that are late because their owner left them slots that it needed itself.
func TestLeavesSlot(t *testing.T) {
	const s = time.Second
	own := Item{Competes: true, TimeLeft: 7 * s, ExpectedRunTime: s}
	other := Competitor{TimeLeft: 3 * s, Waiting: 5}
	for _, test := range []struct {
		name  string
		own   func(*Item)
		other func(*Competitor)
		free  int
		want  bool
	}{
		{"slack beyond the other's time left", nil, nil, 5, true},
		{"slots for all", nil, nil, 6, false},
		{"nothing waits", nil, func(c *Competitor) { c.Waiting = 0 }, 1, false},
		{"the job does not compete", func(i *Item) { i.Competes = false }, nil, 1, false},
		{"less slack than the other has time", func(i *Item) { i.ExpectedRunTime = 4 * s }, nil, 1, false},
		{"the other's trainer is behind", func(i *Item) { i.ExpectedRunTime = 4 * s }, func(c *Competitor) { c.Lag = s }, 1, true},
		{"the own trainer is behind", func(i *Item) { i.Lag = 4 * s }, nil, 1, false},
		{"a slot left would put the item at risk", func(i *Item) { i.TimeLeft, i.ExpectedRunTime = 2*s, s/2 }, func(c *Competitor) { c.TimeLeft = s }, 1, false},
		{"the own step yields", func(i *Item) { i.Yields = true }, func(c *Competitor) { c.TimeLeft = 7 * s }, 1, true},
		{"the own item is in reserve", func(i *Item) { i.Reserve = true }, func(c *Competitor) { c.TimeLeft = 7 * s }, 1, true},
		{"the other step is late", func(i *Item) { i.Yields = true }, func(c *Competitor) { c.TimeLeft = -1 }, 1, false},
		{"passed over", func(i *Item) { i.Yields, i.Waited, i.TimeLeft = true, 9*s, -s }, nil, 1, false},
		{"higher priority", func(i *Item) { i.Priority, i.ExpectedRunTime = 1, 6*s }, nil, 1, true},
		{"lower priority", nil, func(c *Competitor) { c.Priority = 1 }, 1, false},
	} {
		item, competitor := own, other
		if test.own != nil {
			test.own(&item)
		}
		if test.other != nil {
			test.other(&competitor)
		}
		if got := LeavesSlot(item, []Competitor{competitor}, test.free); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
	for first := range 50 {
		for second := range 50 {
			a, b := Item{Competes: true, TimeLeft: time.Duration(first) * s / 5, Lag: time.Duration(second%7) * s}, Item{Competes: true, TimeLeft: time.Duration(second) * s / 5, Lag: time.Duration(first%5) * s}
			toB := Competitor{TimeLeft: b.TimeLeft, Lag: b.Lag, Waiting: 1}.NeedsMore(a)
			if toA := (Competitor{TimeLeft: a.TimeLeft, Lag: a.Lag, Waiting: 1}).NeedsMore(b); toA && toB {
				t.Errorf("owners of items with %s and %s left leave slots to each other", a.TimeLeft, b.TimeLeft)
			}
		}
	}
}

// Guards against runs that are interrupted in vain: for a demand that has free slots, of a
// lower priority or at other replicas, or just before they end.
func TestYields(t *testing.T) {
	replica := func(name string, load int) *Replica { return &Replica{Name: name, Slots: 8, MaxLoad: 8, Load: load} }
	full, other, free := replica("full", 8), replica("other", 8), replica("free", 6)
	holder := func(index int, at string, left time.Duration) Holder {
		return Holder{Index: index, Replica: at, RemainingTime: left}
	}
	holders := []Holder{holder(0, "full", minYieldTime), holder(1, "full", 4*time.Second), holder(2, "full", minYieldTime-1), holder(3, "other", 9*time.Second)}
	var many []Holder
	for index := range 2 * maxYieldsPerScan {
		many = append(many, holder(index, "full", minYieldTime+time.Duration(index)))
	}
	for _, test := range []struct {
		name    string
		holders []Holder
		demands []Demand
		want    []int
	}{
		{"longest first", holders, []Demand{{Replicas: []*Replica{full}, Slots: 1}}, []int{1}},
		{"runs that end soon keep their slots", holders, []Demand{{Replicas: []*Replica{full}, Slots: 5}}, []int{1, 0}},
		{"any of its replicas", holders, []Demand{{Replicas: []*Replica{full, other}, Slots: 1}}, []int{3}},
		{"free slots first", holders, []Demand{{Replicas: []*Replica{full, free}, Slots: 2}, {Replicas: []*Replica{full, free}, Slots: 1}}, []int{1}},
		{"lower priority", holders, []Demand{{Priority: 1, Replicas: []*Replica{full}, Slots: 1}}, nil},
		{"at most some in a scan", many, []Demand{{Replicas: []*Replica{full}, Slots: 100}}, []int{15, 14, 13, 12, 11, 10, 9, 8}},
	} {
		if got := Yields(test.holders, test.demands); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v yield, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a tenant that gets fewer slots because another one needs fewer than its
// share, and against shares that apply across priorities or to jobs that don't compete.
func TestSortByShares(t *testing.T) {
	items := func(spec string) []Item {
		var created []Item
		for rank, tenant := range spec {
			created = append(created, Item{Competes: tenant != 'x', Tenant: string(tenant), Rank: rank, TimeLeft: 7 * time.Second})
		}
		return created
	}
	for _, test := range []struct {
		name, items string
		shares      Shares
		want        string
	}{
		{"no tenants declared", "aaabb", Shares{}, "01234"},
		{"within the shares", "aaabb", Shares{Slots: 20}, "01234"},
		{"beyond the shares", "aaabb", Shares{Slots: 4}, "01342"},
		{"nothing is left", "aaabb", Shares{Slots: 4, Used: map[string]int{"a": 2, "b": 2}}, "03142"},
		{"used slots count", "aabb", Shares{Slots: 4, Used: map[string]int{"a": 2}}, "2301"},
		{"unused slots are distributed", "aabb", Shares{Slots: 4, Used: map[string]int{"a": 4, "b": 1}}, "2301"},
		{"slots of a third tenant", "aabb", Shares{Slots: 6, Used: map[string]int{"c": 4}}, "0213"},
		{"one tenant", "aaax", Shares{Slots: 1}, "0123"},
		{"jobs that do not compete", "aaabbx", Shares{Slots: 2}, "035142"},
	} {
		order := ""
		for _, index := range Sort(items(test.items), test.shares) {
			order += strconv.Itoa(index)
		}
		if order != test.want {
			t.Errorf("%s: order %s, want %s", test.name, order, test.want)
		}
	}
}
