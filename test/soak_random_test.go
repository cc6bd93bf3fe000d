package test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"
)

// Streams of a seed. Each duty, job and fault draws from one of its own, so
// that what it draws does not depend on how goroutines are scheduled.
const (
	streamSpec = uint64(iota+1) << 32
	streamFaults
	streamCallers
	streamJobs
	streamReaders
	streamReplicas
	streamCrashes
)

// jobsOfTrainer parts the streams of the trainers' jobs.
const jobStreamsPerTrainer = 1 << 16

// draws is one stream of a seed. It is safe for use by many goroutines.
type randomStream struct {
	mutex sync.Mutex
	rand  *rand.Rand
}

func newRandomStream(seed, stream uint64) *randomStream {
	return &randomStream{rand: rand.New(rand.NewPCG(seed, stream))}
}

// chance draws a number below a bound.
func (d *randomStream) intN(bound int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.rand.IntN(bound)
}

// span draws a time between two.
func (d *randomStream) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(d.intN(int((to-from).Milliseconds())+1))*time.Millisecond
}

const (
	soakNodes = 4
	// manyNodes is how many processes one run in manyNodesEvery has.
	manyNodes      = 12
	manyNodesEvery = 8
)

// soakShape is what the run of a seed is like.
type soakSpec struct {
	nodes int
	// closing is a fault shortly before the load ends, so that what it does to
	// jobs is still there when they are read for the last time; nil for none.
	finalFault func(w *soakRun, from *randomStream) (string, func())
	random     *randomStream
}

// shapeOf draws the shape of a run.
func drawSpec(seed uint64) soakSpec {
	spec := soakSpec{nodes: soakNodes, random: newRandomStream(seed, streamSpec)}
	if spec.random.intN(manyNodesEvery) == 0 {
		spec.nodes = manyNodes
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
	// shortestFault and longestFault bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3800 * time.Millisecond
)

// drawnFault is one of the faults of a run.
type drawnFault struct {
	soakFault
	duration time.Duration
	// alone faults are mended before the next begins.
	exclusive bool
	random    *randomStream
}

// drawFault draws the fault with a number.
func drawFault(seed uint64, number int) drawnFault {
	stream := newRandomStream(seed, streamFaults+uint64(number))
	return drawnFault{
		soakFault: soakFaults[stream.intN(len(soakFaults))], duration: stream.duration(minFaultDuration, maxFaultDuration), exclusive: stream.intN(3) > 0, random: stream,
	}
}

// soakEnding is what a trainer ends a job after.
type endPlan struct {
	trigger endTrigger
	// after is the time to the end from the acceptance or from the restart or call
	// that is waited for.
	delay time.Duration
	// again is set where the end is repeated at another node, and together where
	// that is done at the same time.
	repeated, concurrent bool
}

// waits tells whether the end is at something that happens to the nodes.
func (e endPlan) awaitsEvent() bool {
	return e.trigger != endAfterResults && e.trigger != endAfterDelay
}

type endTrigger int

const (
	// endAtShare is once the trainer has what it waits for.
	endAfterResults endTrigger = iota
	// endAtTime is at a time from the acceptance.
	endAfterDelay
	// endAtRestart is at a time from the next end of a node.
	endAfterRestart
	// endInAppend is while the store is slow to answer an append of the job's
	// results, and endInReading while it is slow to give its payload to a node.
	endDuringAppend
	endDuringPayloadRead
)

var endTriggers = []endTrigger{endAfterResults, endAfterDelay, endAfterRestart, endDuringAppend, endDuringAppend, endDuringPayloadRead, endDuringPayloadRead}

const (
	// latestEnd bounds the time to an end: a job of middling size lasts as long.
	maxEndDelay = 3 * time.Second
	// firstTrainer ends its jobs at the share, so that steps are made.
	firstTrainer = 0
)

// jobSizes are how many items jobs have. The largest lasts some seconds even
// where it is alone.
var jobSizes = []int{24, 120, 300}

// drawJob draws a trainer's job of a step.
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

// A seed always draws the same faults and jobs.
func TestSoakSeedIsDeterministic(t *testing.T) {
	const several = 40
	kinds := map[string]bool{}
	for number := range several {
		one, other := drawFault(3, number), drawFault(3, number)
		if one.name != other.name || one.duration != other.duration || one.exclusive != other.exclusive || one.random.intN(1<<30) != other.random.intN(1<<30) {
			t.Errorf("fault %d: %s for %s and %s for %s", number, one.name, one.duration, other.name, other.duration)
		}
		kinds[one.name] = true
		if job, same := drawJob(3, 1, number), drawJob(3, 1, number); job.items != same.items || !reflect.DeepEqual(job.endPlan, same.endPlan) {
			t.Errorf("job %d: %d items and %d, %v and %v", number, job.items, same.items, job.endPlan, same.endPlan)
		}
	}
	if len(kinds) < len(soakFaults)/2 {
		t.Errorf("%d faults are of %d kinds", several, len(kinds))
	}
}
