package test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"
)

// Random streams of a seed. Each task, job and fault has its own stream, so that its draws
// do not depend on how goroutines are scheduled.
const (
	streamSpec = uint64(iota+1) << 32
	streamFaults
	streamCallers
	streamJobs
	streamReaders
	streamReplicas
	streamCrashes
	streamOwedItems
)

// jobStreamsPerTrainer is how many random streams are set aside for the jobs of one trainer.
// Each job has a stream of its own, numbered by the trainer and the step.
const jobStreamsPerTrainer = 1 << 16

// randomStream is one random stream of a seed. It is safe for concurrent use.
type randomStream struct {
	mutex sync.Mutex
	rand  *rand.Rand
}

func newRandomStream(seed, stream uint64) *randomStream {
	return &randomStream{rand: rand.New(rand.NewPCG(seed, stream))}
}

// intN draws a number from 0 up to, but not including, a bound.
func (s *randomStream) intN(bound int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.rand.IntN(bound)
}

// duration draws a duration between two, in whole milliseconds.
func (s *randomStream) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(s.intN(int((to-from).Milliseconds())+1))*time.Millisecond
}

const (
	soakNodes = 4
	// largeRunNodes is the number of nodes in one of largeRunEvery runs.
	largeRunNodes = 12
	largeRunEvery = 8
)

// soakSpec is what a seed determines about a whole run.
type soakSpec struct {
	nodes int
	// finalFault is injected shortly before the load ends, so that its effects on jobs are
	// not yet repaired when they are read for the last time; nil for none.
	finalFault func(s *soakRun, random *randomStream) (string, func())
	random     *randomStream
}

// drawSpec draws the spec of a run.
func drawSpec(seed uint64) soakSpec {
	spec := soakSpec{nodes: soakNodes, random: newRandomStream(seed, streamSpec)}
	if spec.random.intN(largeRunEvery) == 0 {
		spec.nodes = largeRunNodes
	}
	switch spec.random.intN(3) {
	case 1:
		spec.finalFault = slowStore
	case 2:
		spec.finalFault = powerLoss
	}
	return spec
}

const (
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3800 * time.Millisecond
)

// drawnFault is a fault of a run with its drawn parameters.
type drawnFault struct {
	soakFault
	duration time.Duration
	// exclusive faults end before the next one is injected.
	exclusive bool
	random    *randomStream
}

// drawFault draws the fault with the given number.
func drawFault(seed uint64, number int) drawnFault {
	stream := newRandomStream(seed, streamFaults+uint64(number))
	return drawnFault{
		soakFault: soakFaults[stream.intN(len(soakFaults))], duration: stream.duration(minFaultDuration, maxFaultDuration), exclusive: stream.intN(3) > 0, random: stream,
	}
}

// endPlan is when and how a trainer ends a job.
type endPlan struct {
	trigger endTrigger
	// delay is the time from the acceptance of the job, or from the restart or store call
	// that triggers the end.
	delay time.Duration
	// repeated ends the job again later, and concurrent ends it twice at the same time,
	// each at a random node.
	repeated, concurrent bool
}

// awaitsEvent reports whether the end is triggered by a restart or a store call.
func (e endPlan) awaitsEvent() bool {
	return e.trigger != endAfterResults && e.trigger != endAfterDelay
}

type endTrigger int

const (
	// endAfterResults is once the trainer has wantedShare of the results.
	endAfterResults endTrigger = iota
	// endAfterDelay is after a delay from the acceptance.
	endAfterDelay
	// endAfterRestart is after a delay from the next end of a node process.
	endAfterRestart
	// endDuringAppend is while a slow store call appends results of the job, and
	// endDuringPayloadRead while a slow store call reads its payload.
	endDuringAppend
	endDuringPayloadRead
)

var endTriggers = []endTrigger{endAfterResults, endAfterDelay, endAfterRestart, endDuringAppend, endDuringAppend, endDuringPayloadRead, endDuringPayloadRead}

const (
	// maxEndDelay is the longest delay from the acceptance of a job, or from the end of a
	// node process, until the trainer ends the job. Jobs of medium size run for about this
	// long, so that they may be ended at any stage.
	maxEndDelay = 3 * time.Second
	// firstTrainer ends its jobs after their results, so that each run has complete steps.
	firstTrainer = 0
)

// jobSizes are the item counts of jobs. The largest job runs for some seconds even without
// other load.
var jobSizes = []int{24, 120, 300}

// drawJob draws the job of a trainer for a step.
func drawJob(seed uint64, trainer, step int) *soakJob {
	stream := newRandomStream(seed, streamJobs+uint64(trainer*jobStreamsPerTrainer+step))
	job := &soakJob{id: fmt.Sprintf("job%d-%d", trainer, step), items: jobSizes[0], random: stream}
	job.endPlan.repeated, job.endPlan.concurrent = stream.intN(2) == 0, stream.intN(3) == 0
	if trainer == firstTrainer {
		return job
	}
	job.items = jobSizes[stream.intN(len(jobSizes))]
	job.endPlan.trigger = endTriggers[stream.intN(len(endTriggers))]
	job.endPlan.delay = stream.duration(0, maxEndDelay)
	if job.endPlan.trigger == endDuringAppend || job.endPlan.trigger == endDuringPayloadRead {
		job.endPlan.delay = stream.duration(0, minStoreDelay)
	}
	switch job.endPlan.trigger {
	case endAfterRestart, endDuringPayloadRead:
		job.items = jobSizes[len(jobSizes)-1]
	}
	return job
}

// A seed must always draw the same faults and jobs, so that a run can be replayed.
func TestSoakSeedIsDeterministic(t *testing.T) {
	const several = 40
	kinds := map[string]bool{}
	for number := range several {
		one, other := drawFault(3, number), drawFault(3, number)
		if one.name != other.name || one.duration != other.duration || one.exclusive != other.exclusive || one.random.intN(1<<30) != other.random.intN(1<<30) {
			t.Errorf("fault %d: drew %s for %s, then %s for %s", number, one.name, one.duration, other.name, other.duration)
		}
		kinds[one.name] = true
		if job, same := drawJob(3, 1, number), drawJob(3, 1, number); job.items != same.items || !reflect.DeepEqual(job.endPlan, same.endPlan) {
			t.Errorf("job %d: drew %d items, then %d; end plan %v, then %v", number, job.items, same.items, job.endPlan, same.endPlan)
		}
	}
	if len(kinds) < len(soakFaults)/2 {
		t.Errorf("%d faults are of only %d kinds", several, len(kinds))
	}
}
