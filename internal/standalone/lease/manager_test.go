package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/lease"
	"github.com/pathtally/pathtally/internal/standalone/sim"
)

const testDuration = 10 * time.Second

// candidate is a process that competes for one lease.
type candidate struct {
	manager *lease.Manager
	token   uint64
	holds   bool
}

func startCandidate(platform *sim.Platform, scheduler *sim.Scheduler, name string, rank int) (*candidate, *sim.Host) {
	host := sim.NewRunningHost(scheduler, name)
	c := &candidate{}
	c.manager = lease.NewManager(lease.Config{
		Self: name, Clock: host, Random: rand.New(rand.NewPCG(uint64(rank), 1)), Objects: platform.Client(host), Duration: testDuration,
		Rank:      func(string) int { return rank },
		OnAcquire: func(_ string, token uint64) { c.holds, c.token = true, token },
		OnLose:    func(string) { c.holds = false },
	})
	c.manager.SetNames([]string{"duty"})
	return c, host
}

func TestTakeoverIncreasesToken(t *testing.T) {
	scheduler := sim.NewScheduler(1)
	platform := sim.NewPlatform(scheduler)
	first, host := startCandidate(platform, scheduler, "first", 0)
	scheduler.Run(time.Second)
	second, _ := startCandidate(platform, scheduler, "second", 1)
	scheduler.Run(30 * time.Second)
	if !first.holds || second.holds {
		t.Fatalf("before the pause: first holds %v, second holds %v, want only the first", first.holds, second.holds)
	}
	host.Pause()
	scheduler.Run(3 * testDuration)
	if !second.holds || second.token <= first.token {
		t.Fatalf("after the pause: second holds %v with token %d, want a token above %d", second.holds, second.token, first.token)
	}
	host.Resume()
	scheduler.Run(testDuration)
	if first.holds {
		t.Error("the paused holder still holds the lease after it resumed")
	}
}

func TestHolderKeepsLeaseDuringOutage(t *testing.T) {
	scheduler := sim.NewScheduler(2)
	platform := sim.NewPlatform(scheduler)
	first, _ := startCandidate(platform, scheduler, "first", 0)
	second, _ := startCandidate(platform, scheduler, "second", 1)
	scheduler.Run(30 * time.Second)
	before := []bool{first.holds, second.holds}
	platform.Outage = true
	scheduler.Run(time.Hour)
	platform.Outage = false
	scheduler.Run(time.Minute)
	if first.holds != before[0] || second.holds != before[1] {
		t.Errorf("holders changed in the outage: before %v, after %v and %v", before, first.holds, second.holds)
	}
}

func TestOneHolderAfterLostResponses(t *testing.T) {
	for seed := range uint64(20) {
		scheduler := sim.NewScheduler(seed)
		platform := sim.NewPlatform(scheduler)
		platform.LoseAnswer, platform.LoseRequest = 0.5, 0.2
		first, _ := startCandidate(platform, scheduler, "first", 0)
		second, _ := startCandidate(platform, scheduler, "second", 1)
		scheduler.Run(2 * time.Minute)
		platform.LoseAnswer, platform.LoseRequest = 0, 0
		scheduler.Run(time.Minute)
		if first.holds == second.holds {
			t.Errorf("seed %d: first holds %v, second holds %v, want one holder", seed, first.holds, second.holds)
		}
	}
}
