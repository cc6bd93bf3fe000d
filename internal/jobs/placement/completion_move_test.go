package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// moveTest has two fast and two slow replicas, each with eight free slots.
type moveTest struct {
	paces Paces
	all   []*Replica
}

func newMoveTest() *moveTest {
	paces, all := unevenReplicas(rand.New(rand.NewPCG(21, 22)), 2, 2, 35, 83, 8)
	return &moveTest{paces, all}
}

// runAt returns a run that has received 10 events at a replica.
func (m *moveTest) runAt(replica int, work Work) *Run {
	return &Run{Replica: m.all[replica].Name, Replicas: m.all, Events: 10, Work: work}
}

// fill uses all slots of the given replicas.
func (m *moveTest) fill(filled ...int) {
	for _, replica := range filled {
		m.all[replica].Load = m.all[replica].Slots
	}
}

// reasons returns the reasons of the moves of the runs, by run.
func (m *moveTest) reasons(runs ...*Run) map[*Run]Reason {
	reasons := map[*Run]Reason{}
	for _, move := range MovesByCompletion(m.paces, runs) {
		reasons[move.Run] = move.Reason
	}
	return reasons
}

// Guards against moves that do not help, each of which costs 20 to 400 ms, and against texts
// that stay at a slow replica until they are late.
func TestMovesByCompletion(t *testing.T) {
	const fast, slow = 0, 2
	late := Work{Remaining: 90, MaxRemaining: 100, LongestText: longestText, TimeLeft: 6 * time.Second}
	for _, test := range []struct {
		name    string
		replica int
		work    Work
		change  func(*moveTest, *Run)
		want    Reason
	}{
		{"late at a slow replica", slow, late, nil, ReasonLate},
		{"in time at a slow replica", slow, Work{Remaining: 40, MaxRemaining: 60, TimeLeft: 6 * time.Second}, nil, ""},
		{"late at a fast replica", fast, late, func(_ *moveTest, run *Run) { run.Work.TimeLeft = time.Second }, ""},
		{"late at a replica of the same class that is 14% slower", fast, Work{Remaining: 140, MaxRemaining: 142, TimeLeft: 5 * time.Second}, func(m *moveTest, _ *Run) {
			m.paces.usual[m.all[0].Name] = 40 * time.Millisecond
		}, ""},
		{"late at a slow replica without a free fast slot", slow, late, func(m *moveTest, _ *Run) { m.fill(0, 1) }, ""},
		{"late, gain too small", slow, Work{Remaining: 9, MaxRemaining: 9, TimeLeft: 100 * time.Millisecond}, nil, ""},
		{"late, the trainer does not wait for it", slow, late, func(_ *moveTest, run *Run) { run.Reserve = true }, ""},
		{"late, too few events", slow, late, func(_ *moveTest, run *Run) { run.Events = minMovedEvents - 1 }, ""},
		{"could be late, can still move later", slow, Work{Remaining: 10, MaxRemaining: 100, TimeLeft: 6 * time.Second}, nil, ""},
		{"could be late, last moment", slow, Work{Remaining: 10, MaxRemaining: 100, TimeLeft: 3900 * time.Millisecond}, nil, ReasonLate},
		{"late, fast replicas disturbed", slow, late, func(m *moveTest, _ *Run) {
			m.paces.disturbed[m.all[0].Name], m.paces.disturbed[m.all[1].Name] = true, true
		}, ""},
		{"late, fast replicas failing", slow, late, func(m *moveTest, _ *Run) { m.all[0].failing, m.all[1].failing = true, true }, ""},
		{"late, failed at the fast replicas", slow, late, func(m *moveTest, run *Run) { run.FailedReplicas = []string{m.all[0].Name, m.all[1].Name} }, ""},
		{"fast replica became slow", fast, late, func(m *moveTest, _ *Run) {
			m.paces.usual[m.all[0].Name], m.paces.disturbed[m.all[0].Name] = 105*time.Millisecond, true
		}, ReasonLate},
		{"not begun", fast, late, func(_ *moveTest, run *Run) { run.Events, run.Idle = 0, beginTimeout }, ReasonNotBegun},
		{"not begun, just sent", fast, late, func(_ *moveTest, run *Run) { run.Events, run.Idle = 0, beginTimeout-1 }, ""},
		{"not begun, moved before", fast, late, func(_ *moveTest, run *Run) {
			run.Events, run.Idle, run.NotBegun = 0, 2*beginTimeout-1, 1
		}, ""},
		{"not begun, moved before, longer", fast, late, func(_ *moveTest, run *Run) {
			run.Events, run.Idle, run.NotBegun = 0, 2*beginTimeout, 1
		}, ReasonNotBegun},
		{"not begun, weights load", fast, late, func(_ *moveTest, run *Run) { run.Events, run.Idle, run.Loading = 0, beginTimeout, true }, ""},
		{"not begun, no free slot elsewhere", fast, late, func(m *moveTest, run *Run) {
			run.Events, run.Idle = 0, beginTimeout
			m.fill(1, 2, 3)
		}, ""},
	} {
		m := newMoveTest()
		m.all[test.replica].Load = 1
		run := m.runAt(test.replica, test.work)
		if test.change != nil {
			test.change(m, run)
		}
		if got := m.reasons(run)[run]; got != test.want {
			t.Errorf("%s: reason %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against moving more runs at once than there are free fast slots.
func TestMovesByCompletionShareFreeSlots(t *testing.T) {
	m := newMoveTest()
	m.fill(0, 1)
	m.all[1].Load--
	var runs []*Run
	for number := range 3 {
		runs = append(runs, m.runAt(2, Work{Remaining: 80 + number, MaxRemaining: 80 + number, TimeLeft: 5 * time.Second}))
	}
	if reasons := m.reasons(runs...); len(reasons) != 1 || reasons[runs[2]] != ReasonLate || m.all[1].Load != 8 {
		t.Errorf("moved %v, want the longest run to the only free fast slot", reasons)
	}
}

// Guards against long texts that are late at a slow replica because short ones have the fast
// slots, and against interrupting short runs when that doesn't give the long one a slot.
func TestMovesByCompletionSwaps(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(m *moveTest, long, short *Run)
		swapped bool
	}{
		{"short run at a fast replica", func(*moveTest, *Run, *Run) {}, true},
		{"long run will be in time", func(_ *moveTest, long, _ *Run) { long.Work.TimeLeft = 9 * time.Second }, false},
		{"long run in reserve", func(_ *moveTest, long, _ *Run) { long.Reserve = true }, false},
		{"gain too small", func(_ *moveTest, long, _ *Run) {
			long.Work = Work{Remaining: 20, MaxRemaining: 20, TimeLeft: time.Second}
		}, false},
		{"short run would be late at a slow replica", func(_ *moveTest, _, short *Run) { short.Work.TimeLeft = 800 * time.Millisecond }, false},
		{"short run was swapped before", func(_ *moveTest, _, short *Run) { short.Swapped = true }, false},
		{"no free slow slot", func(m *moveTest, _, _ *Run) { m.fill(2, 3) }, false},
		{"long run may not use the fast replica", func(m *moveTest, long, _ *Run) { long.Replicas = m.all[2:] }, false},
		{"long run has failed at the fast replica", func(m *moveTest, long, _ *Run) { long.FailedReplicas = []string{m.all[0].Name} }, false},
		{"fast replica is failing", func(m *moveTest, _, _ *Run) { m.all[0].failing = true }, false},
		{"fast replica is unresponsive", func(m *moveTest, _, _ *Run) { m.all[0].unresponsive = true }, false},
	} {
		m := newMoveTest()
		m.fill(0, 1)
		long := m.runAt(2, Work{Remaining: 90, MaxRemaining: 100, LongestText: longestText, TimeLeft: 6 * time.Second})
		short := m.runAt(0, Work{Remaining: 8, MaxRemaining: 20, LongestText: longestText, TimeLeft: 6 * time.Second})
		test.change(m, long, short)
		reasons := m.reasons(long, short)
		if want := map[bool]Reason{true: ReasonSwapped}[test.swapped]; reasons[short] != want || reasons[long] != "" {
			t.Errorf("%s: long %q, short %q, want %q", test.name, reasons[long], reasons[short], want)
		}
	}
}

// Guards against interrupting several short runs for the same free slow slot: those that find
// none return to the fast replicas.
func TestSwapsShareFreeSlots(t *testing.T) {
	m := newMoveTest()
	m.fill(0, 1, 2, 3)
	m.all[3].Load--
	var runs []*Run
	for number := range 3 {
		runs = append(runs, m.runAt(2, Work{Remaining: 90, MaxRemaining: 100, TimeLeft: 6 * time.Second}),
			m.runAt(0, Work{Remaining: 8 + number, MaxRemaining: 20, TimeLeft: 6 * time.Second}))
	}
	if reasons := m.reasons(runs...); len(reasons) != 1 || reasons[runs[1]] != ReasonSwapped {
		t.Errorf("moved %v, want the shortest run only", reasons)
	}
}

// Guards against a run that is moved again and again: the queue must not return an item that
// moves at the last moment to the slow replica that it left, because its expected remaining
// time is short there.
func TestLastMoveGoesToFastReplica(t *testing.T) {
	m := newMoveTest()
	work := Work{Remaining: 3, MaxRemaining: 100, TimeLeft: 3950 * time.Millisecond}
	run := m.runAt(2, work)
	if got := m.reasons(run)[run]; got != ReasonLate {
		t.Fatalf("reason %q, want %q", got, ReasonLate)
	}
	if picked := PickByCompletion(m.paces, m.all, work, Preference{Fastest: true}); !isFast(picked.Name) {
		t.Errorf("continues at %s", picked.Name)
	}
	m.fill(0, 1)
	if picked := PickByCompletion(m.paces, m.all, work, Preference{Fastest: true}); picked == nil {
		t.Error("waits although a slow replica has a free slot")
	}
}

// Guards against swaps for any of the late runs, such as the first in the order of a map: those
// that gain most come first.
func TestSwapsForLargestGainFirst(t *testing.T) {
	m := newMoveTest()
	m.fill(0, 1)
	var runs []*Run
	for number := range 5 {
		runs = append(runs, m.runAt(2, Work{Remaining: 80 + number, MaxRemaining: 100, TimeLeft: 6 * time.Second}))
	}
	long := m.paces.runsForFastSlots(runs, nil)
	if len(long) != len(runs) || long[0] != runs[len(runs)-1] || long[len(long)-1] != runs[0] {
		t.Error("the runs are not in the order of their gains")
	}
}
