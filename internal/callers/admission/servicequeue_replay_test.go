package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	replayNodes     = 60
	replayObjective = 150 * time.Millisecond
	replayWork      = 23 * time.Millisecond
	replayHop       = time.Millisecond
	replaySlots     = 6
	replayQueue     = 24
	// usualRate is the usual number of requests a second at three replicas.
	usualRate = 12.0
	// burstStart and burstEnd are the times of a burst.
	burstStart = time.Second
	burstEnd   = 5 * time.Second
)

var replayStart = time.Unix(1000, 0)

// replay is an event loop in virtual time over the state machines of replayNodes nodes and
// simple models of their replicas.
type replay struct {
	now    time.Time
	random *rand.Rand
	events replayEvents
	nodes  []*ServiceQueue
	served []*replayReplica
	// unlimited sends all calls at once.
	unlimited bool
	// base is the response time without load that the nodes know.
	base time.Duration
	// latency holds the average response times of the replicas to each node.
	latency map[*ServiceQueue]map[string]time.Duration
	calls   []*replayCall
	callOf  map[*Request]*replayCall
}

// replayEvent is a function to be called at a time.
type replayEvent struct {
	at  time.Time
	run func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(event any)    { *e = append(*e, event.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayReplica has slots, a queue, and rejects what exceeds both.
type replayReplica struct {
	name    string
	slow    float64
	lost    bool
	running int
	queue   []func()
}

// replayCall is a request of a caller, who returns once to another node.
type replayCall struct {
	tenant   string
	priority int
	sent     time.Time
	refusals int
	// refusedAfter is the longest time to a refusal, returned the time of the return.
	refusedAfter time.Duration
	returned     time.Time
	// failed lists the replicas that did not respond.
	failed []string
	// took is the time of the answer since the call reached the node that answered, 0 without
	// an answer.
	took time.Duration
}

func newReplay(slow ...float64) *replay {
	r := &replay{
		now: replayStart, base: replayWork, random: rand.New(rand.NewPCG(1, 2)), latency: map[*ServiceQueue]map[string]time.Duration{}, callOf: map[*Request]*replayCall{},
	}
	for range replayNodes {
		node := NewServiceQueue()
		r.nodes, r.latency[node] = append(r.nodes, node), map[string]time.Duration{}
	}
	for number, factor := range slow {
		r.served = append(r.served, &replayReplica{name: fmt.Sprint("replica-", number), slow: factor})
	}
	return r
}

func (r *replay) after(delay time.Duration, run func()) {
	heap.Push(&r.events, replayEvent{at: r.now.Add(delay), run: run})
}

func (r *replay) run(until time.Duration) {
	end := replayStart.Add(until)
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		event := heap.Pop(&r.events).(replayEvent)
		r.now = event.at
		event.run()
	}
	r.now = end
}

// load schedules calls at a rate per second between two times.
func (r *replay) load(from, to time.Duration, rate float64, describe func() (tenant string, priority int)) {
	for at := from; at < to; at += time.Duration(r.random.ExpFloat64() / rate * float64(time.Second)) {
		tenant, priority := describe()
		call := &replayCall{tenant: tenant, priority: priority, sent: replayStart.Add(at)}
		r.calls = append(r.calls, call)
		r.after(at, func() { r.arrive(call, call.sent.Add(1500*time.Millisecond)) })
	}
}

// arrive hands a call to a random node.
func (r *replay) arrive(call *replayCall, deadline time.Time) {
	node := r.nodes[r.random.IntN(replayNodes)]
	request := &Request{Priority: call.priority, Tenant: call.tenant, Arrived: r.now, Deadline: deadline, Objective: replayObjective}
	r.offer(node, call, request)
}

func (r *replay) offer(node *ServiceQueue, call *replayCall, request *Request) {
	request.Replicas = nil
	for _, index := range r.random.Perm(len(r.served)) {
		if name := r.served[index].name; !slices.Contains(call.failed, name) {
			request.Replicas = append(request.Replicas, name)
		}
	}
	if len(request.Replicas) == 0 {
		r.refuse(call, request, 120*time.Millisecond)
		return
	}
	// Replicas that took long are avoided, as by routing.LatencyScorer.
	latency := r.latency[node]
	slices.SortStableFunc(request.Replicas, func(a, b string) int {
		return cmp.Compare(max(latency[a], replayObjective/4), max(latency[b], replayObjective/4))
	})
	r.callOf[request] = call
	if r.unlimited || !node.Active(r.now) {
		r.send(node, call, request, request.Replicas[0])
		return
	}
	r.follow(node, node.Arrive(r.now, request, r.random.Float64()))
}

// follow carries verdicts out and calls Advance when it is due.
func (r *replay) follow(node *ServiceQueue, verdicts []Verdict) {
	for _, verdict := range verdicts {
		call := r.callOf[verdict.Request]
		if verdict.Replica != "" {
			r.send(node, call, verdict.Request, verdict.Replica)
			continue
		}
		r.refuse(call, verdict.Request, verdict.RetryAfter)
	}
	if at, waits := node.NextAt(r.now); waits {
		r.after(at.Sub(r.now), func() { r.follow(node, node.Advance(r.now, r.random.Float64())) })
	}
}

func (r *replay) refuse(call *replayCall, request *Request, after time.Duration) {
	call.refusals++
	call.refusedAfter = max(call.refusedAfter, r.now.Sub(request.Arrived))
	if call.refusals > 1 {
		return
	}
	after = min(after, request.Deadline.Sub(r.now)/3)
	call.returned = r.now.Add(after)
	r.after(after, func() { r.arrive(call, request.Deadline) })
}

// send runs a call at a replica.
func (r *replay) send(node *ServiceQueue, call *replayCall, request *Request, name string) {
	replica := r.served[slices.IndexFunc(r.served, func(replica *replayReplica) bool { return replica.name == name })]
	start := r.now
	answer := func() Answer {
		return Answer{Replica: name, Objective: replayObjective, Took: r.now.Sub(start), Base: r.base, InFlight: 1}
	}
	r.after(replayHop, func() {
		switch {
		case replica.lost:
			node.Failed(r.now, name)
			call.failed = append(call.failed, name)
			r.offer(node, call, request)
		case replica.running < replaySlots:
			r.work(replica, node, call, request, answer)
		case len(replica.queue) < replayQueue:
			replica.queue = append(replica.queue, func() { r.work(replica, node, call, request, answer) })
		default:
			node.Rejected(r.now, answer())
			r.offer(node, call, request)
		}
	})
}

func (r *replay) work(replica *replayReplica, node *ServiceQueue, call *replayCall, request *Request, answer func() Answer) {
	replica.running++
	took := time.Duration(float64(replayWork) * replica.slow * (0.9 + 0.2*r.random.Float64()))
	r.after(took, func() {
		replica.running--
		if len(replica.queue) > 0 && !replica.lost {
			next := replica.queue[0]
			replica.queue = replica.queue[1:]
			next()
		}
		call.took = r.now.Sub(request.Arrived)
		observed := answer()
		r.latency[node][replica.name] += time.Duration(0.3 * float64(observed.Took-r.latency[node][replica.name]))
		node.Answered(r.now, observed)
		r.follow(node, node.Advance(r.now, r.random.Float64()))
	})
}

// burst returns a replay of a burst at a multiple of the usual rate, with usual load before and
// after it.
func burst(multiple float64, describe func(*rand.Rand) (tenant string, priority int), slow ...float64) *replay {
	r := newReplay(slow...)
	rate := usualRate * float64(len(slow)) / 3
	draw := func() (string, int) { return describe(r.random) }
	r.load(0, burstStart, rate, draw)
	r.load(burstStart, burstEnd, multiple*rate, draw)
	r.load(burstEnd, burstEnd+10*time.Second, rate, draw)
	return r
}

// replayTotals counts the outcomes of calls.
type replayTotals struct{ calls, first, second, late, refusedOnce, refusedTwice, lost, slowRefusals int }

func totals(calls []*replayCall, keep func(*replayCall) bool) (t replayTotals) {
	for _, call := range calls {
		if keep != nil && !keep(call) {
			continue
		}
		t.calls++
		switch {
		case call.took == 0 && call.refusals < 2:
			t.lost++
		case call.took == 0:
			t.refusedTwice++
		case call.took > replayObjective:
			t.late++
		case call.refusals == 0:
			t.first++
		default:
			t.second++
		}
		if call.refusals > 0 {
			t.refusedOnce++
		}
		if call.refusedAfter > replayObjective/4 {
			t.slowRefusals++
		}
	}
	return t
}

func (t replayTotals) inTime() float64 { return float64(t.first+t.second) / float64(t.calls) }

func (t replayTotals) share(count int) float64 { return float64(count) / float64(t.calls) }

func (r *replay) inBurst(call *replayCall) bool {
	return !call.sent.Before(replayStart.Add(burstStart)) && call.sent.Before(replayStart.Add(burstEnd))
}

// capacity returns the share of a burst's calls that the replicas can run until the last
// callers have returned.
func (r *replay) capacity() float64 {
	perSecond := 0.0
	for _, replica := range r.served {
		perSecond += replaySlots / (replayWork.Seconds() * replica.slow)
	}
	const lastReturn = 0.3
	return min(1, perSecond*((burstEnd-burstStart).Seconds()+lastReturn)/float64(totals(r.calls, r.inBurst).calls))
}

func equal(*rand.Rand) (string, int) { return "", 1 }

// Guards against a burst of 100 times the usual rate that makes most answers late, refuses
// callers slowly or twice, or brings those refused back in waves.
func TestBurstBeyondCapacity(t *testing.T) {
	for name, slow := range map[string][]float64{"all replicas": {1, 1, 1}, "no history": {1, 1, 1}, "a third of the replicas": {1}, "one of three is slow": {1, 1, 2.5}} {
		r := burst(100, equal, slow...)
		if name == "no history" {
			r.base = 0
		}
		r.run(20 * time.Second)
		got, capacity := totals(r.calls, r.inBurst), r.capacity()
		t.Logf("%s: capacity %.3f, %+v", name, capacity, got)
		if got.inTime() < 0.75*capacity || (capacity > 0.6 && got.inTime() < 2*0.26) {
			t.Errorf("%s: %.3f in time, the replicas could run %.3f", name, got.inTime(), capacity)
		}
		if late := got.share(got.late); late >= 0.1 {
			t.Errorf("%s: %.3f late", name, late)
		}
		if twice, excess := got.share(got.refusedTwice), 1-capacity; twice > excess+0.07 {
			t.Errorf("%s: %.3f refused twice, the excess is %.3f", name, twice, excess)
		}
		if slowly := got.share(got.slowRefusals); slowly > 0.03 {
			t.Errorf("%s: %.3f refused later than a quarter of the objective", name, slowly)
		}
		if got.lost > 0 {
			t.Errorf("%s: %d calls without an outcome", name, got.lost)
		}
		r.checkReturns(t, name)
		r.checkRecovery(t, name)
	}
}

// checkReturns checks that no tenth of a second of the burst gets more than twice the mean number
// of returning callers.
func (r *replay) checkReturns(t *testing.T, name string) {
	t.Helper()
	returns := map[int64]int{}
	total, most := 0, 0
	for _, call := range r.calls {
		if at := call.returned.Sub(replayStart); call.refusals > 0 && at > burstStart && at < burstEnd {
			window := int64(at / (100 * time.Millisecond))
			returns[window]++
			total++
			most = max(most, returns[window])
		}
	}
	if mean := float64(total) / (burstEnd - burstStart).Seconds() / 10; float64(most) > 2*mean {
		t.Errorf("%s: %d callers returned in a tenth of a second, the mean is %.1f", name, most, mean)
	}
}

// checkRecovery checks that calls that arrive a second after the burst are served at once.
func (r *replay) checkRecovery(t *testing.T, name string) {
	t.Helper()
	after := totals(r.calls, func(call *replayCall) bool { return call.sent.After(replayStart.Add(burstEnd + time.Second)) })
	if after.first != after.calls {
		t.Errorf("%s: a second after the burst: %+v", name, after)
	}
	for _, node := range r.nodes {
		if node.Active(r.now) {
			t.Errorf("%s: a node still limits replicas", name)
			return
		}
	}
}

// Guards against limits that harm bursts which the replicas can serve, also with a slow one.
func TestBurstWithinCapacity(t *testing.T) {
	for name, slow := range map[string][]float64{"all usual": {1, 1, 1}, "one slow": {1, 1, 2.5}} {
		r, without := burst(30, equal, slow...), burst(30, equal, slow...)
		without.unlimited = true
		r.run(20 * time.Second)
		without.run(20 * time.Second)
		got, want := totals(r.calls, r.inBurst), totals(without.calls, without.inBurst)
		// The random numbers of the two differ, which is worth less than 0.01.
		if got.share(got.first) < want.share(want.first)-0.01 || (name == "all usual" && got.share(got.first) < 0.98) {
			t.Errorf("%s: %+v, without limits %+v", name, got, want)
		}
	}
}

// Guards against a tenant that sends nine tenths of a burst and takes the shares of others.
func TestBurstOfOneTenant(t *testing.T) {
	r := burst(100, func(random *rand.Rand) (string, int) {
		if random.Float64() < 0.9 {
			return "heavy", 1
		}
		return []string{"light", "other"}[random.IntN(2)], 1
	}, 1, 1, 1)
	r.run(20 * time.Second)
	heavy := totals(r.calls, func(call *replayCall) bool { return r.inBurst(call) && call.tenant == "heavy" })
	light := totals(r.calls, func(call *replayCall) bool { return r.inBurst(call) && call.tenant != "heavy" })
	if light.inTime() < 0.95 || heavy.inTime() < 0.5 {
		t.Errorf("light tenants %+v, heavy %+v", light, heavy)
	}
}

// Guards against refusals of urgent requests while others are served.
func TestBurstOfMixedPriorities(t *testing.T) {
	r := burst(100, func(random *rand.Rand) (string, int) { return "", random.IntN(3) }, 1, 1, 1)
	r.run(20 * time.Second)
	var inTime [3]float64
	for priority := range inTime {
		inTime[priority] = totals(r.calls, func(call *replayCall) bool { return r.inBurst(call) && call.priority == priority }).inTime()
	}
	if inTime[0] < 0.85 || inTime[0] < inTime[1]+0.15 || inTime[1] < inTime[2]+0.15 {
		t.Errorf("in time by priority: %.3f", inTime)
	}
}

// Guards against a rate that still counts a lost replica, so that requests wait for it in vain.
func TestReplicasLostInBurst(t *testing.T) {
	for _, count := range []int{1, 3} {
		r := burst(100, equal, 1, 1, 1)
		const lossAt = 3 * time.Second
		r.after(lossAt, func() {
			for _, replica := range r.served[:count] {
				replica.lost, replica.queue = true, nil
			}
		})
		r.run(20 * time.Second)
		got := totals(r.calls, func(call *replayCall) bool {
			return call.sent.After(replayStart.Add(lossAt+300*time.Millisecond)) && r.inBurst(call)
		})
		if got.lost > 0 || got.share(got.slowRefusals) > 0.05 || got.share(got.late) >= 0.1 {
			t.Errorf("%d lost: %+v", count, got)
		}
		if count == 1 && got.inTime() < 0.3 {
			t.Errorf("%d lost: %.3f in time, two replicas could run 0.43", count, got.inTime())
		}
		if count == 3 && got.inTime() > 0 {
			t.Error("a lost replica answered")
		}
	}
}

// Guards against limits of healthy replicas that follow from late answers of a slow one.
func TestSlowReplicaLimitsOnlyItself(t *testing.T) {
	r := burst(20, equal, 1, 1, 12)
	r.run(3 * time.Second)
	limited := 0
	for _, node := range r.nodes {
		for name := range node.limits {
			if name != "replica-2" {
				t.Errorf("%s is limited", name)
			}
			limited++
		}
	}
	if limited == 0 {
		t.Error("no node limits the slow replica")
	}
}
