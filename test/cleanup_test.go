package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

// Guards against a store that grows with every batch job, also where the node that deletes them is lost,
// and against the deletion of open jobs.
func TestEndedJobsLeaveTheStore(t *testing.T) {
	t.Parallel()
	const jobs, items = 12, 8
	d := deployPlatform(t, deploymentSpec{nodes: 3, engines: 2, apps: 1, eventInterval: 2 * time.Millisecond, jobRetention: 2 * time.Second})
	d.submit(d.nodes[1], "open", items, 1)
	for number := range jobs {
		job := fmt.Sprintf("job-%02d", number)
		d.submit(d.nodes[number%3], job, items, 1)
		d.checkResults(d.read(func() *platformNode { return d.nodes[(number+1)%3] }, job, items), items, 1)
		d.eventually("the job to end", func() bool {
			response, err := d.send(d.nodes[2], http.MethodDelete, draftHost, "/-/lots/"+job, job, nil, nil)
			return err == nil && response.status == http.StatusOK
		})
	}
	cleaner := func() *platformNode {
		for _, node := range d.nodes {
			if node.find("ended batch job deleted") != nil {
				return node
			}
		}
		return nil
	}
	d.eventually("a job to be deleted", func() bool { return cleaner() != nil })
	lost := cleaner()
	lost.kill()
	d.nodes = removeNode(d.nodes, lost)
	d.startNode(3)
	for _, kind := range []string{jobstore.KindJobs, jobstore.KindResults, jobstore.KindPayloads} {
		d.eventually("the objects of ended jobs to be deleted: "+kind, func() bool {
			for _, object := range d.store.Objects(kind) {
				if object.Name[:4] != "open" {
					return false
				}
			}
			return true
		})
	}
	response, err := d.send(d.nodes[0], http.MethodGet, draftHost, "/-/lots/job-00", "reader", nil, nil)
	if err != nil || response.status != http.StatusNotFound {
		t.Errorf("read of a deleted job: status %d, %v", response.status, err)
	}
	d.checkResults(d.read(func() *platformNode { return d.nodes[0] }, "open", items), items, 1)
	t.Logf("%d deletions for %d jobs", d.store.Calls("delete"), jobs)
}

// removeNode returns the nodes without one of them.
func removeNode(nodes []*platformNode, removed *platformNode) []*platformNode {
	var left []*platformNode
	for _, node := range nodes {
		if node != removed {
			left = append(left, node)
		}
	}
	return left
}
