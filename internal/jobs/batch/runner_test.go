package batch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// nodesByRank waits until all nodes know each other, and returns them in their rank for
// the jobs of the tests' model.
func (c *cluster) nodesByRank() []*testNode {
	c.t.Helper()
	eventually(c.t, "all nodes know each other", func() bool {
		for _, node := range c.nodes {
			if len(node.table.NodeNames()) != len(c.nodes) || !node.Recovered() {
				return false
			}
		}
		return true
	})
	byName := map[string]*testNode{}
	for _, node := range c.nodes {
		byName[node.config.Self.Node] = node
	}
	var ranked []*testNode
	for _, name := range c.nodes[0].rankedRunners("m") {
		ranked = append(ranked, byName[name])
	}
	return ranked
}

// submitAsCaller submits a job to a node like a caller does.
func (c *cluster) submitAsCaller(node *testNode, id string, items int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	submitted, payload := submission(id, items)
	return node.Submit(ctx, &SubmitRequest{ID: id, Route: testRoute, Host: "drafts.example", Payload: payload, Submission: submitted})
}

func TestOneRunnerPerModel(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster := newCluster(t, 4, engine)
	ranked := cluster.nodesByRank()
	for number, node := range cluster.nodes {
		id := []string{"job-a", "job-b", "job-c", "job-d"}[number]
		if err := cluster.submitAsCaller(node, id, 2); err != nil {
			t.Fatal(err)
		}
		if owner := cluster.owner(id); owner != ranked[0] {
			t.Errorf("%s is not run by the first node in rank", id)
		}
	}
	engine.release()
	checkResults(t, "job-d", cluster.readAll(ranked[3], "job-d", 2), 2, 3)
}

// A small node must not become the runner of a trainer's jobs.
func TestRunnerIsLargestNode(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster := newCluster(t, 4, engine)
	ranked := cluster.nodesByRank()
	largest := ranked[2].config.Self.Node
	for _, node := range cluster.nodes {
		node.table.HandleHeartbeat(&wire.NodeBeat{Node: largest, Address: ranked[2].config.Self.Address, Incarnation: ranked[2].config.Self.Incarnation, Capacity: 800})
	}
	for _, node := range cluster.nodes {
		if first := node.rankedRunners("m")[0]; node != ranked[2] && first != largest {
			t.Errorf("%s: runner %s, want %s", node.config.Self.Node, first, largest)
		}
	}
	engine.release()
}

// A job must be run by the next node in rank if the runner is down, and by the node that
// received it if several are.
func TestSubmitSkipsUnreachableRunners(t *testing.T) {
	engine := newHoldingEngine(t)
	defer engine.release()
	cluster := newCluster(t, 4, engine)
	ranked := cluster.nodesByRank()
	cluster.setDisconnected(ranked[0].config.Self.Node, true)
	if err := cluster.submitAsCaller(ranked[3], "past-one", 2); err != nil {
		t.Fatal(err)
	}
	if owner := cluster.owner("past-one"); owner != ranked[1] {
		t.Error("the second node in rank does not run the job")
	}
	cluster.setDisconnected(ranked[1].config.Self.Node, true)
	cluster.setDisconnected(ranked[2].config.Self.Node, true)
	ranked[3].mutex.Lock()
	clear(ranked[3].offerBackoff.until)
	ranked[3].mutex.Unlock()
	if err := cluster.submitAsCaller(ranked[3], "past-two", 2); err != nil {
		t.Fatal(err)
	}
	if owner := cluster.owner("past-two"); owner != ranked[3] {
		t.Error("the node that received the job does not run it")
	}
}

func TestLeavingNodeRejectsOffers(t *testing.T) {
	engine := newHoldingEngine(t)
	defer engine.release()
	cluster := newCluster(t, 3, engine)
	ranked := cluster.nodesByRank()
	ranked[0].Leave()
	if err := cluster.submitAsCaller(ranked[2], "job", 2); err != nil {
		t.Fatal(err)
	}
	if owner := cluster.owner("job"); owner != ranked[1] {
		t.Error("the second node in rank does not run the job")
	}
}

// If the reply of a runner that accepted a job is lost, the caller must not be told that
// the job was rejected.
func TestLostRunnerReplyIsNoRejection(t *testing.T) {
	engine := newHoldingEngine(t)
	defer engine.release()
	cluster := newCluster(t, 3, engine)
	ranked := cluster.nodesByRank()
	cluster.peers.mutex.Lock()
	cluster.peers.lostReplies = ranked[0].config.Self.Node
	cluster.peers.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	submitted, payload := submission("job", 2)
	err := ranked[2].Submit(ctx, &SubmitRequest{ID: "job", Route: testRoute, Host: "drafts.example", Payload: payload, Submission: submitted})
	var uncertain *jobstore.AcceptanceUnknownError
	if err != nil && !errors.As(err, &uncertain) {
		t.Errorf("error %v, want nil or an AcceptanceUnknownError", err)
	}
	eventually(t, "the runner has the job", func() bool { return cluster.owner("job") == ranked[0] })
	if err := cluster.submitAsCaller(ranked[1], "job", 2); err != nil {
		t.Errorf("submitted again: error %v", err)
	}
	if owner := cluster.owner("job"); owner != ranked[0] {
		t.Error("the job has another owner")
	}
}

func TestInvalidSubmissionIsNotRun(t *testing.T) {
	cluster := newCluster(t, 1, startEngine(t, 1))
	var submitted *wire.JobSubmitted
	cluster.nodes[0].handleSubmit(&wire.JobSubmit{Job: "job", Payload: []byte("{")}, func(reply wire.Message) {
		submitted, _ = reply.(*wire.JobSubmitted)
	})
	if submitted == nil || submitted.Outcome != wire.OutcomeNotRun || submitted.Detail == "" {
		t.Errorf("reply %+v, want OutcomeNotRun with a detail", submitted)
	}
}
