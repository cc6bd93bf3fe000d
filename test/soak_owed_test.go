package test

import (
	"time"
)

const (
	// owedItems is the number of items of the job of checkItemAfterCrashes.
	owedItems = 4
	// owedTimeout bounds the acceptance of that job and the wait for crashes under an item. Jobs
	// whose trainers have stopped may use all slots until then.
	owedTimeout = 30 * time.Second
)

// checkItemAfterCrashes crashes replicas while they run an item of a batch job, and checks that
// the item runs again although maxCrashes replicas have crashed under it. The load must have ended:
// an item may wait for as long as others use all slots.
func (s *soakRun) checkItemAfterCrashes() {
	job := &soakJob{id: "owed", items: owedItems, random: newRandomStream(s.seed, streamOwedItems)}
	s.record.mutex.Lock()
	s.record.jobs = append(s.record.jobs, job)
	s.record.mutex.Unlock()
	job.minVersion = max(1, s.newestWeightVersion()-1)
	for began := time.Now(); !s.submit(job, 0); {
		if time.Since(began) > owedTimeout {
			s.record.fail("TEST", "job %s was not accepted after the load", job.id)
			return
		}
	}
	item := draftItem(job.id, 0)["id"].(string)
	if crashes := s.crashEnginesUnder(item); crashes < maxCrashes {
		s.record.fail("TEST", "%d replicas crashed under item %s, want %d", crashes, item, maxCrashes)
		return
	}
	lastCrash := time.Now()
	for !s.ranAfter(item, lastCrash) {
		if time.Since(lastCrash) > maxWithoutReplica {
			s.record.fail("LOST", "item %s has been at no replica for %s after %d replicas crashed under it", item, maxWithoutReplica, maxCrashes)
			break
		}
		time.Sleep(pollInterval)
	}
	s.endUntilAcknowledged(job)
}

// crashEnginesUnder crashes engines while they run an item, and returns how many. It stops after
// maxCrashes or owedTimeout.
func (s *soakRun) crashEnginesUnder(item string) (crashes int) {
	for began := time.Now(); crashes < maxCrashes && time.Since(began) < owedTimeout; time.Sleep(time.Millisecond) {
		for _, engine := range s.ofService("engines") {
			if !engine.server.Ended() && runs(engine.server, item) {
				engine.link.close()
				engine.server.Close()
				crashes++
			}
		}
	}
	return crashes
}

// ranAfter reports whether a replica began to run a request after a time.
func (s *soakRun) ranAfter(id string, after time.Time) bool {
	for _, candidate := range s.allReplicas() {
		for _, run := range candidate.server.Runs() {
			if run.ID == id && run.At.After(after) {
				return true
			}
		}
	}
	return false
}
