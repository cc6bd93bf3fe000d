package batch

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Weights load first for models whose items wait, wherever their jobs run.
func TestWaitingCountsAllNodes(t *testing.T) {
	service, waiting := newPlacement(1)
	service.scheduler.queue = []*item{waiting, waiting}
	model := waiting.job.submission.Model
	service.ReceiveHeartbeat(&wire.NodeBeat{Node: "other", Work: []wire.JobWork{{Job: "j", Model: model, Waiting: 3}, {Job: "k", Model: "else", Waiting: 4}}})
	if counts := service.Waiting(); counts[model] != 5 || counts["else"] != 4 {
		t.Errorf("%v items wait, want 5 of model %q and 4 of another", counts, model)
	}
}

// The coordinator must know the speeds that this node measures, and those announced to it. Guards
// against recent intervals among them, which include disturbances, and against homes by speed in
// deployments whose jobs have time to spare.
func TestUsualIntervalsOfAllNodes(t *testing.T) {
	service, _ := newPacedPlacement(35, 83)
	state, now := service.replicas.GetOrCreate(replicaName(0)), time.Now()
	state.Running = 1
	for range 40 {
		state.Observe(35*time.Millisecond, now)
	}
	if intervals := service.UsualIntervals(); len(intervals) != 0 {
		t.Errorf("intervals %v although no job depends on the speed of replicas", intervals)
	}
	service.ReceiveHeartbeat(&wire.NodeBeat{Node: "owner", Work: []wire.JobWork{{Job: "j", Model: "m", LeftMs: 7000, Critical: true}}})
	if intervals := service.UsualIntervals(); len(intervals) != 1 || intervals[replicaName(0)] != 35*time.Millisecond {
		t.Errorf("intervals %v, want 35 ms at the replica that runs items", intervals)
	}
	service.ReceiveHeartbeat(&wire.NodeBeat{Node: "other", Uses: []wire.ReplicaUse{{Replica: "far", Running: 1, UsualIntervalUs: 49000}}})
	if intervals := service.UsualIntervals(); len(intervals) != 2 || intervals[replicaName(0)] != 35*time.Millisecond || intervals["far"] != 49*time.Millisecond {
		t.Errorf("intervals %v, want 35 ms and the announced 49 ms", intervals)
	}
}
