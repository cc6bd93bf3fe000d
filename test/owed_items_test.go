package test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/replica"
)

// maxWithoutReplica is how long an item may be at no replica while replicas have free slots.
const maxWithoutReplica = 5 * time.Second

// crashUnder crashes replicas while they run a request, until count of them have crashed. The
// other replicas live on.
func (d *platformDeployment) crashUnder(replicas []*replica.Server, id string, count int) {
	d.t.Helper()
	d.eventually(fmt.Sprintf("%d replicas to crash under %s", count, id), func() bool {
		crashed := 0
		for _, server := range replicas {
			if runs(server, id) {
				server.Close()
				crashed++
			}
		}
		return crashed >= count
	})
}

// runs reports whether a replica has begun to run a request.
func runs(server *replica.Server, id string) bool {
	for _, run := range server.Runs() {
		if run.ID == id {
			return true
		}
	}
	return false
}

// checkRunsWithin checks that a request runs at a replica that has not crashed within
// maxWithoutReplica from now.
func (d *platformDeployment) checkRunsWithin(replicas []*replica.Server, id string) {
	d.t.Helper()
	for end := time.Now().Add(maxWithoutReplica); time.Now().Before(end); time.Sleep(superviseInterval) {
		for _, server := range replicas {
			if !server.Ended() && runs(server, id) {
				return
			}
		}
	}
	d.t.Errorf("%s has been at no replica for %s while replicas are idle", id, maxWithoutReplica)
}

// Guards against batch items that are held back because the replicas that ran them crashed: the
// item is not the cause, and its job waits for it.
func TestItemRunsAgainAfterReplicaCrashes(t *testing.T) {
	const items, item = 8, "job.5"
	for _, kind := range []struct {
		name string
		// after changes the deployment between the crashes and the check.
		after func(d *platformDeployment)
	}{
		{"in its job", func(*platformDeployment) {}},
		{"after a takeover", func(d *platformDeployment) {
			time.Sleep(propagationTime)
			(&crashDeployment{platformDeployment: d}).jobOwner("job").signal(syscall.SIGKILL)
		}},
		{"in another job", func(d *platformDeployment) {
			if response, err := d.send(d.nodes[0], http.MethodDelete, draftHost, "/-/lots/job", "end", nil, nil); err != nil || response.status/100 != 2 {
				d.t.Fatalf("end of the job: status %d, error %v", response.status, err)
			}
			body := d.payload("job", items, 1)
			d.eventually("the second job to be accepted", func() bool {
				response, err := d.send(d.nodes[0], http.MethodPost, draftHost, "/drafts/again", "again", body, nil)
				return err == nil && response.status == http.StatusAccepted
			})
		}},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			d := deployPlatform(t, deploymentSpec{nodes: 3, engines: 6, apps: 1, eventInterval: 150 * time.Millisecond})
			d.submit(d.nodes[0], "job", items, 1)
			d.crashUnder(d.engines, item, maxCrashes)
			kind.after(d)
			d.checkRunsWithin(d.engines, item)
		})
	}
}

// Guards against items whose scorer is held back because its replicas crashed.
func TestScorerIsCalledAgainAfterReplicaCrashes(t *testing.T) {
	t.Parallel()
	const items, call = 4, "score.job.1"
	d := deployPlatform(t, deploymentSpec{nodes: 2, engines: 2, apps: 5, eventInterval: time.Millisecond, appServiceTime: 200 * time.Millisecond})
	d.submit(d.nodes[0], "job", items, 1)
	d.crashUnder(d.apps, call, maxCrashes)
	d.checkRunsWithin(d.apps, call)
}
