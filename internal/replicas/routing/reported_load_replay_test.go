package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

const (
	replayNodes    = 36
	replayReplicas = 3
	replaySlots    = 6
	replayQueue    = 24
	replayWork     = 23 * time.Millisecond
	replaySeconds  = 7
	// replayUse is the rate of requests as a fraction of what the replicas can do.
	replayUse       = 0.6
	replayObjective = 150 * time.Millisecond
	// replayAnswerDelay is the time until an answer and its report reach the node.
	replayAnswerDelay = 20 * time.Millisecond
	replayTick        = time.Millisecond
	// replayReportTicks is how long the figures of a replica stay the same, and
	// replayWindowTicks the interval over which the greatest share of a replica is computed.
	replayReportTicks = 100
	replayWindowTicks = 500
)

// replayAnswer is a request at a replica and, later, its answer.
type replayAnswer struct {
	endpoint *Endpoint
	sent     time.Time
	work     time.Duration
	refused  bool
	report   ReportedLoad
	arrives  time.Time
}

type replayReplica struct {
	running, waiting []*replayAnswer
	report           ReportedLoad
	sent             int
}

// replay is one run of nodes that send requests to the same replicas, which have one queue each.
type replay struct {
	follow   bool
	replicas map[string]*replayReplica
	answers  []*replayAnswer
	// greatestShares is the sum of the greatest share of one replica in each window.
	greatestShares         float64
	windows, total, missed int
}

// run returns the share of the requests that replica-0 got while measured returns true.
func (r *replay) run(seed uint64, slowdown func(random *rand.Rand, replica, tick int) float64, measured func(tick int) bool) float64 {
	random := rand.New(rand.NewPCG(seed, 0))
	r.replicas = map[string]*replayReplica{}
	var plans []*Plan
	for node := range replayNodes {
		plans = append(plans, NewRankedPlan(Locality{Node: fmt.Sprint(seed, node), Zone: "e1"}, replicasOf(replayReplicas, "e1")))
	}
	for _, endpoint := range plans[0].Endpoints() {
		r.replicas[endpoint.Name] = &replayReplica{}
	}
	first, all := 0, 0
	probability := replayUse * replayReplicas * replaySlots * float64(replayTick) / float64(replayWork) / replayNodes
	for tick := range replaySeconds * int(time.Second/replayTick) {
		for number := range replayReplicas {
			replica := r.replicas[fmt.Sprint("replica-", number)]
			if tick%replayReportTicks == number {
				replica.report = ReportedLoad{
					Running: len(replica.running), Waiting: len(replica.waiting), Slots: replaySlots, Slowdown: slowdown(random, number, tick), HasSlowdown: true,
				}
			}
			r.work(replica)
		}
		for len(r.answers) > 0 && !time.Now().Before(r.answers[0].arrives) {
			r.receive(r.answers[0])
			r.answers = r.answers[1:]
		}
		for _, plan := range plans {
			if random.Float64() >= probability {
				continue
			}
			name := r.send(plan, random.Uint64())
			if measured(tick) {
				all++
				if name == "replica-0" {
					first++
				}
			}
		}
		if (tick+1)%replayWindowTicks == 0 {
			r.endWindow()
		}
		time.Sleep(replayTick)
	}
	return float64(first) / float64(all)
}

func (r *replay) send(plan *Plan, random uint64) string {
	endpoint, _ := plan.Pick(&Query{Zone: "e1", Objective: replayObjective, Random: random})
	endpoint.State.InFlight.Add(1)
	request := &replayAnswer{endpoint: endpoint, sent: time.Now(), work: replayWork}
	replica := r.replicas[endpoint.Name]
	replica.sent++
	if request.refused = len(replica.waiting) >= replayQueue; request.refused {
		r.answer(replica, request)
	} else {
		replica.waiting = append(replica.waiting, request)
	}
	return endpoint.Name
}

// work advances a replica by one tick.
func (r *replay) work(replica *replayReplica) {
	kept := replica.running[:0]
	for _, request := range replica.running {
		if request.work -= time.Duration(float64(replayTick) / replica.report.Slowdown); request.work > 0 {
			kept = append(kept, request)
		} else {
			r.answer(replica, request)
		}
	}
	replica.running = kept
	for len(replica.running) < replaySlots && len(replica.waiting) > 0 {
		replica.running, replica.waiting = append(replica.running, replica.waiting[0]), replica.waiting[1:]
	}
}

func (r *replay) answer(replica *replayReplica, request *replayAnswer) {
	request.report, request.arrives = replica.report, time.Now().Add(replayAnswerDelay)
	r.answers = append(r.answers, request)
}

func (r *replay) receive(answer *replayAnswer) {
	state, took := answer.endpoint.State, time.Since(answer.sent)
	if r.follow {
		state.ObserveLoad(answer.report, time.Now())
	}
	state.InFlight.Add(-1)
	if !answer.refused {
		state.Latency.Observe(took)
	}
	r.total++
	if answer.refused || took > replayObjective {
		r.missed++
	}
}

func (r *replay) endWindow() {
	most, all := 0, 0
	for _, replica := range r.replicas {
		most, all, replica.sent = max(most, replica.sent), all+replica.sent, 0
	}
	r.greatestShares += float64(most) / float64(all)
	r.windows++
}

// replayBoth runs replays with some seeds, without and with the reports.
func replayBoth(t *testing.T, slowdown func(*rand.Rand, int, int) float64, measured func(int) bool) (shares, greatest, missed [2]float64) {
	const seeds = 4
	for index, follow := range []bool{false, true} {
		for seed := range uint64(seeds) {
			synctest.Test(t, func(*testing.T) {
				r := &replay{follow: follow}
				shares[index] += r.run(seed, slowdown, measured) / seeds
				greatest[index] += r.greatestShares / float64(r.windows) / seeds
				missed[index] += float64(r.missed) / float64(r.total) / seeds
			})
		}
	}
	t.Logf("without and with reports: share of replica-0 %.3f, greatest share %.3f, missed objective %.4f", shares, greatest, missed)
	return shares, greatest, missed
}

// Guards against dozens of nodes that see the same late figures picking the same replica.
func TestReportsDoNotMakeNodesHerd(t *testing.T) {
	_, greatest, missed := replayBoth(t, func(random *rand.Rand, _, _ int) float64 {
		return []float64{0.7, 0.7, 0.7, 2}[random.IntN(4)]
	}, func(int) bool { return true })
	if greatest[1] > greatest[0] || missed[1] > missed[0]+0.005 {
		t.Errorf("greatest share %.3f, missed %.4f with reports; %.3f, %.4f without", greatest[1], missed[1], greatest[0], missed[0])
	}
}

// Guards against a replica that is three times slower for some seconds getting as much work as
// the others.
func TestReplicaSlowForSecondsGetsLessWork(t *testing.T) {
	isSlow := func(tick int) bool { return tick >= 2000 && tick < 5000 }
	shares, _, missed := replayBoth(t, func(_ *rand.Rand, replica, tick int) float64 {
		if replica == 0 && isSlow(tick) {
			return 3
		}
		return 1
	}, isSlow)
	if shares[1] > 0.5/replayReplicas || missed[1] > missed[0]+0.005 {
		t.Errorf("share %.3f of the slow replica, missed %.4f with reports; %.3f, %.4f without", shares[1], missed[1], shares[0], missed[0])
	}
}
