package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/lease"
	"github.com/pathtally/pathtally/internal/standalone/sim"
)

const testTerm = 10 * time.Second

// competitor is a process that competes for one lease.
type competitor struct {
	manager *lease.Manager
	token   uint64
	holds   bool
}

func compete(platform *sim.Platform, scheduler *sim.Scheduler, name string, rank int) (*competitor, *sim.Host) {
	host := sim.NewRunningHost(scheduler, name)
	c := &competitor{}
	c.manager = lease.NewManager(lease.Config{
		Self: name, Clock: host, Random: rand.New(rand.NewPCG(uint64(rank), 1)), Objects: platform.Client(host), Term: testTerm,
		Rank:      func(string) int { return rank },
		OnAcquire: func(_ string, token uint64) { c.holds, c.token = true, token },
		OnLose:    func(string) { c.holds = false },
	})
	c.manager.Want([]string{"duty"})
	return c, host
}

func TestOneHolderAndTakeoverWithAGreaterToken(t *testing.T) {
	scheduler := sim.NewScheduler(1)
	platform := sim.NewPlatform(scheduler)
	holder, host := compete(platform, scheduler, "first", 0)
	scheduler.Run(time.Second)
	other, _ := compete(platform, scheduler, "second", 1)
	scheduler.Run(30 * time.Second)
	if !holder.holds || other.holds {
		t.Fatalf("holders: %v and %v", holder.holds, other.holds)
	}
	host.Pause()
	scheduler.Run(3 * testTerm)
	if !other.holds || other.token <= holder.token {
		t.Fatalf("after a pause the other one holds %v with token %d against %d", other.holds, other.token, holder.token)
	}
	host.Resume()
	scheduler.Run(testTerm)
	if holder.holds {
		t.Error("the paused holder has not noticed that it lost the lease")
	}
}

func TestHolderGoesOnWhileTheObjectAPIIsAway(t *testing.T) {
	scheduler := sim.NewScheduler(2)
	platform := sim.NewPlatform(scheduler)
	first, _ := compete(platform, scheduler, "first", 0)
	second, _ := compete(platform, scheduler, "second", 1)
	scheduler.Run(30 * time.Second)
	before := []bool{first.holds, second.holds}
	platform.Outage = true
	scheduler.Run(time.Hour)
	platform.Outage = false
	scheduler.Run(time.Minute)
	if first.holds != before[0] || second.holds != before[1] {
		t.Errorf("holders before %v, after %v and %v", before, first.holds, second.holds)
	}
}

func TestLostAnswersLeaveOneHolder(t *testing.T) {
	for seed := range uint64(20) {
		scheduler := sim.NewScheduler(seed)
		platform := sim.NewPlatform(scheduler)
		platform.LoseAnswer, platform.LoseRequest = 0.5, 0.2
		first, _ := compete(platform, scheduler, "first", 0)
		second, _ := compete(platform, scheduler, "second", 1)
		scheduler.Run(2 * time.Minute)
		platform.LoseAnswer, platform.LoseRequest = 0, 0
		scheduler.Run(time.Minute)
		if first.holds == second.holds {
			t.Errorf("seed %d: holders %v and %v", seed, first.holds, second.holds)
		}
	}
}
