package test

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

var (
	soakFor  = flag.Duration("soak.for", 0, "for how long the soak goes on with fresh seeds")
	soakSeed = flag.Uint64("soak.seed", 0, "the one seed to run, 0 for those that ever failed")
	soakLogs = flag.String("soak.logs", "", "folder for the logs of runs that failed")
)

// soakSeeds are the seeds of every test run. A seed always draws the same faults and jobs,
// but their effects depend on timing, so a seed that has failed may pass.
var soakSeeds = []uint64{
	// Many kinds of faults in quick succession.
	114277,
	// Loss of results that had been read: an append interrupted by the end of its job.
	1,
	// The same, and items that reach replicas after the end of their job.
	24,
}

const (
	// faultPhase is how long faults are injected in one run.
	faultPhase = 18 * time.Second
	// recoveryTime is the time without faults before the bounds of recovery are checked.
	recoveryTime = 6 * time.Second
	// drainBound is the time within which a draining replica receives its last request, and
	// configurationBound the time within which all nodes apply a configuration.
	drainBound         = 2 * time.Second
	configurationBound = 2 * time.Second
)

// TestSoak runs node processes under faults drawn from a seed and checks what callers,
// trainers and replicas see.
func TestSoak(t *testing.T) {
	if *soakSeed != 0 {
		soak(t, *soakSeed)
		return
	}
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed) })
	}
	for began := time.Now(); time.Since(began) < *soakFor; {
		seed := uint64(time.Now().UnixNano()) % 1_000_000_007
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed) })
	}
}

// quarantineSeed draws faults that kill all nodes after a request has crashed maxCrashes
// replicas.
const quarantineSeed = 795716164

// A quarantined request must not run again after all nodes were killed.
func TestSoakOfQuarantineAfterPowerLoss(t *testing.T) {
	soak(t, quarantineSeed)
}

// soak runs one seed.
func soak(t *testing.T, seed uint64) {
	s := newSoakRun(t, seed)
	for number := range soakCallers {
		s.startTask(func() { s.runCaller(number) })
	}
	for number := range soakTrainers {
		s.startTask(func() { s.runTrainer(number) })
	}
	for number := range soakReaders {
		s.startTask(func() { s.runReader(number) })
	}
	s.startTask(s.refreshEngineEntries)
	s.startTask(s.replaceCrashed)
	s.startTask(s.sendCrashingRequests)
	for _, node := range s.nodes {
		s.startTask(func() { s.probeConfigVersion(node) })
	}
	s.injectFaults()
	s.checkRecovery()
	s.checkCrashing()
	s.runFinalFault()
	close(s.done)
	s.tasks.Wait()
	s.readWithoutOwners()
	s.verifyAllResults()
	s.checkItemAfterCrashes()
	s.restartAllNodes()
	s.verifyAllResults()
	s.checkQuarantined("after a new start of all nodes")
	s.checkReplicas()
	s.report()
}

// injectFaults injects one fault after the other, some of which overlap.
func (s *soakRun) injectFaults() {
	var active sync.WaitGroup
	began := time.Now()
	for number := 0; time.Since(began) < faultPhase; number++ {
		fault := drawFault(s.seed, number)
		started := time.Now()
		description, heal := fault.inject(s, fault.random)
		s.record.addFault(fmt.Sprintf("%s from %s: %s, %s", fault.name, formatTime(started), description, fault.duration))
		if heal != nil {
			active.Go(func() {
				time.Sleep(fault.duration)
				heal()
				s.record.addFault(fmt.Sprintf("%s mended: %s", fault.name, description))
			})
		}
		if fault.exclusive {
			active.Wait()
		} else {
			time.Sleep(fault.duration / 2)
		}
	}
	active.Wait()
}

// checkRecovery lets the deployment recover and checks the bounds that hold without faults:
// nodes apply a new configuration, and draining replicas and evacuated zones receive no more
// requests.
func (s *soakRun) checkRecovery() {
	s.faultsEnded.Store(true)
	for _, node := range s.nodes {
		s.awaitReady(node)
	}
	time.Sleep(recoveryTime)
	s.configure()
	draining := s.ofService("apps")[0]
	s.addReplica("apps")
	s.store.Write("servers", draining.id, draining.entry("draining"))
	drainedAt := time.Now()
	s.mutex.Lock()
	draining.drainedAt = drainedAt
	s.mutex.Unlock()
	time.Sleep(configurationBound)
	version, _ := s.newestConfigVersion()
	for _, node := range s.nodes {
		id := fmt.Sprintf("force.%s", node.name)
		request := &soakRequest{id: id, target: versionPath(version) + "x", body: "probe"}
		s.record.recordRequest(request)
		response, err := s.call(node, http.MethodPost, liveHost, request.target, id, []byte(request.body), nil)
		s.recordEnd(request, response, err)
		if err != nil || response.status != http.StatusOK {
			s.record.fail("CONFIG", "%s responds with %d on the route of the newest configuration after the bound, %v", node.name, response.status, err)
		}
	}
	time.Sleep(time.Second)
	s.record.checkDrained(draining.id, drainedAt, drainBound, draining.server.Runs())
	s.evacuate()
}

const (
	// finalFaultDuration is the minimum duration of the final fault, and finalRecoveryTime
	// how long the load continues after it, longer than cancelBound.
	finalFaultDuration = 2 * time.Second
	finalRecoveryTime  = cancelBound + time.Second
)

// runFinalFault injects the final fault of the run, if it has one, shortly before the load
// ends.
func (s *soakRun) runFinalFault() {
	spec := drawSpec(s.seed)
	if spec.finalFault == nil {
		return
	}
	description, heal := spec.finalFault(s, spec.random)
	s.record.addFault("closing fault: " + description)
	time.Sleep(finalFaultDuration)
	heal()
	s.record.addFault("closing fault mended: " + description)
	for _, node := range s.nodes {
		s.awaitReady(node)
	}
	time.Sleep(finalRecoveryTime)
}

// checkReplicas checks the runs and weight orders of all replicas after the load has ended.
func (s *soakRun) checkReplicas() {
	var runs []replica.Run
	owners := map[uint64]string{}
	for _, candidate := range s.allReplicas() {
		runs = append(runs, candidate.server.Runs()...)
		s.record.checkOrders(candidate.id, candidate.server.Orders(), s.heals, owners)
		s.record.checkEnded(candidate.id, candidate.server.Runs())
	}
	s.record.checkRuns(runs)
	s.record.checkRefused(runs)
	if endedJobs := s.record.endedJobCount(); s.record.served == 0 || s.record.steps == 0 || endedJobs == 0 || len(runs) == 0 {
		s.record.fail("TEST", "%d requests served, %d complete steps, %d ended jobs, %d runs: want some of each, or the run proves nothing", s.record.served, s.record.steps, endedJobs, len(runs))
	}
}

const (
	// concurrentReads is how many jobs are read at a time after the load has ended.
	concurrentReads = 40
	// jobsReadWithoutOwners is how many of the newest jobs are read while their owners are
	// paused. It bounds the length of the pause.
	jobsReadWithoutOwners = 80
)

// forEachJob calls do for each job, for up to concurrentReads jobs at a time.
func forEachJob(jobs []*soakJob, do func(*soakJob)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, concurrentReads)
	for _, job := range jobs {
		slots <- struct{}{}
		all.Go(func() {
			do(job)
			<-slots
		})
	}
	all.Wait()
}

// readWithoutOwners pauses each half of the nodes in turn and reads the newest jobs at a node
// of the other half, which has them from the store where their owners are paused.
func (s *soakRun) readWithoutOwners() {
	jobs := s.record.acceptedJobs()
	jobs = jobs[max(0, len(jobs)-jobsReadWithoutOwners):]
	half := len(s.nodes) / 2
	for _, paused := range [][]*soakNode{s.nodes[:half], s.nodes[half:]} {
		var resumes []func()
		for _, node := range paused {
			resumes = append(resumes, s.pauseProcess(node))
		}
		reader := s.nodes[half]
		if paused[0] == reader {
			reader = s.nodes[0]
		}
		forEachJob(jobs, func(job *soakJob) { s.readRemaining(reader, job) })
		for _, resume := range resumes {
			resume()
		}
		for _, node := range paused {
			s.awaitReady(node)
		}
	}
}

// readRemaining reads the results that a node has after those read before.
func (s *soakRun) readRemaining(node *soakNode, job *soakJob) {
	for range job.items {
		known := s.record.resultCount(job)
		response, err := s.page(node, job, known)
		if err != nil || response.status != http.StatusOK || s.record.resultCount(job) == known {
			return
		}
	}
}

// restartAllNodes kills all nodes at once and starts them again, so that they can serve
// results from the store only.
func (s *soakRun) restartAllNodes() {
	s.killNodes(s.nodes)
	s.startNodes(s.nodes)
	for _, node := range s.nodes {
		s.awaitReady(node)
	}
}

func (s *soakRun) verifyAllResults() { forEachJob(s.record.acceptedJobs(), s.verifyResults) }

// verifyResults reads a job from the start at every node and checks that no result has
// changed or is gone.
func (s *soakRun) verifyResults(job *soakJob) {
	known := s.record.resultCount(job)
	for _, node := range s.nodes {
		for position := 0; position < known; {
			response, err := s.page(node, job, position)
			if err != nil || response.status != http.StatusOK {
				s.record.fail("LOST", "read job %s at %s: status %d, %v", job.id, node.name, response.status, err)
				break
			}
			read := strings.Count(response.body, `"state"`)
			if read == 0 {
				// checkPage has recorded a finding.
				break
			}
			position += read
		}
	}
}

// report fails the test if there are findings, prints them and the faults, and writes the
// logs to the folder of -soak.logs.
func (s *soakRun) report() {
	for _, node := range s.nodes {
		process, _ := node.process()
		s.keepLog(node, process)
	}
	s.t.Logf("seed %d: %d nodes, %d requests served, %d steps, %d jobs, %d ended at a restart, %d in an append, %d in a reading, %d faults", s.seed, len(s.nodes), s.record.served,
		s.record.steps, len(s.record.jobs), s.record.triggered[endAfterRestart], s.record.triggered[endDuringAppend], s.record.triggered[endDuringPayloadRead], len(s.record.faults))
	if len(s.record.findings) == 0 {
		return
	}
	for _, finding := range s.record.findings {
		s.t.Errorf("seed %d: %s: %s", s.seed, finding.rule, finding.text)
	}
	s.t.Logf("faults of seed %d:\n%s", s.seed, strings.Join(s.record.faults, "\n"))
	if *soakLogs == "" {
		return
	}
	for name, log := range s.record.logs {
		path := filepath.Join(*soakLogs, fmt.Sprintf("seed-%d-%s.log", s.seed, name))
		if err := os.WriteFile(path, log, 0o600); err != nil {
			s.t.Error(err)
		}
	}
}
