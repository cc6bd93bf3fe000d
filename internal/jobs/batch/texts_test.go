package batch

import (
	"context"
	"fmt"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"reflect"
	"testing"
	"time"
)

func TestJoinPieces(t *testing.T) {
	for _, test := range []struct {
		name   string
		pieces []jobstore.TextPiece
		want   progress
	}{
		{"in order", []jobstore.TextPiece{
			{Item: "a", Events: []string{"1", "2"}, Versions: []int64{1, 1}}, {Item: "a", From: 2, Events: []string{"3"}, Versions: []int64{2}},
		}, progress{events: []string{"1", "2", "3"}, versions: []int64{1, 1, 2}}},
		{"started again", []jobstore.TextPiece{
			{Item: "a", Events: []string{"1", "2"}, Versions: []int64{1, 1}}, {Item: "a", Events: []string{"x"}, Versions: []int64{2}},
		}, progress{events: []string{"x"}, versions: []int64{2}}},
		{"continued by a later owner", []jobstore.TextPiece{
			{Item: "a", Events: []string{"1"}, Versions: []int64{1}}, {Item: "a", From: 1, Events: []string{"2", "3"}, Versions: []int64{1, 1}},
			{Item: "a", From: 1, Events: []string{"y"}, Versions: []int64{2}},
		}, progress{events: []string{"1", "y"}, versions: []int64{1, 2}}},
		{"with a gap", []jobstore.TextPiece{
			{Item: "a", Events: []string{"1"}, Versions: []int64{1}}, {Item: "a", From: 2, Events: []string{"3"}, Versions: []int64{1}},
		}, progress{events: []string{"1"}, versions: []int64{1}}},
		{"versions that do not match", []jobstore.TextPiece{
			{Item: "a", Events: []string{"1"}, Versions: []int64{1}}, {Item: "a", From: 1, Events: []string{"2"}},
		}, progress{events: []string{"1"}, versions: []int64{1}}},
	} {
		if got := joinPieces(test.pieces)["a"]; !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// startHeldJob runs a job of six items whose texts stop after event holdAt, and waits
// until reached is true for each item.
func startHeldJob(t *testing.T, events, holdAt int, reached func(*item) bool) (*testEngine, *cluster) {
	t.Helper()
	engine := startEngine(t, events)
	engine.hold, engine.holdAt = make(chan struct{}), holdAt
	cluster := newCluster(t, 2, engine)
	owner := cluster.nodes[0]
	if err := cluster.submit(owner, "job", 6); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all items have reached the event", func() bool {
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		for _, running := range owner.jobs["job"].items {
			if !reached(running) {
				return false
			}
		}
		return true
	})
	return engine, cluster
}

// checkContinued checks that the other node takes the job over, finishes it, and starts
// no item before event holdAt.
func checkContinued(t *testing.T, engine *testEngine, cluster *cluster, events, holdAt int) {
	t.Helper()
	eventually(t, "the other node runs the job", func() bool { return cluster.owner("job") == cluster.nodes[1] })
	engine.release()
	checkResults(t, "job", cluster.readAll(cluster.nodes[1], "job", 6), 6, events)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for id, resumed := range engine.resumed {
		if last := resumed[len(resumed)-1]; last < holdAt {
			t.Errorf("item %s was run from event %d, want at least %d", id, last, holdAt)
		}
	}
}

// A successor must continue the texts that the killed owner saved.
func TestSuccessorContinuesSavedTexts(t *testing.T) {
	const events, holdAt = 60, 40
	engine, cluster := startHeldJob(t, events, holdAt, func(running *item) bool { return running.savedEvents >= holdAt })
	cluster.nodes[0].cancel()
	cluster.setDisconnected("node-0", true)
	checkContinued(t, engine, cluster, events, holdAt)
}

// A node that leaves must save the texts of its running items first.
func TestLeavingNodeSavesTexts(t *testing.T) {
	const events, holdAt = 60, 40
	engine, cluster := startHeldJob(t, events, holdAt, func(running *item) bool { return running.knownEvents() >= holdAt })
	cluster.nodes[0].Leave()
	checkContinued(t, engine, cluster, events, holdAt)
}

func TestUnsavedTexts(t *testing.T) {
	text := func(events int) progress {
		p := progress{}
		for range events {
			p.add("e", 1)
		}
		return p
	}
	held := &job{items: map[string]*item{
		"short": {progress: text(minSavedEvents - 1)}, "long": {progress: text(3 * minSavedEvents)},
		"saved": {progress: text(3 * minSavedEvents), savedEvents: 3*minSavedEvents - minPieceEvents + 1}, "done": {progress: text(3 * minSavedEvents), done: true},
	}, order: []string{"short", "long", "saved", "done"}}
	pieces := held.unsavedTexts(false)
	if len(pieces) != 1 || pieces[0].Item != "long" || len(pieces[0].Events) != 3*minSavedEvents {
		t.Fatalf("texts to save: %v, want all events of the long one", pieces)
	}
	held.recordSaved(pieces)
	if held.items["long"].savedEvents != 3*minSavedEvents || len(held.unsavedTexts(false)) != 0 {
		t.Error("saved events are saved again")
	}
}

// Guards against mixing two texts of an item because a save of the first completed after
// the second was begun.
func TestDiscardedTextIsSavedFromStart(t *testing.T) {
	work := &item{Item: &Item{ID: "a"}}
	held := &job{items: map[string]*item{"a": work}, order: []string{"a"}}
	addEvents := func(events int, version int64) {
		for range events {
			work.progress.add("e", version)
		}
	}
	addEvents(25, 1)
	first := held.unsavedTexts(false)
	work.discardText()
	addEvents(40, 2)
	held.recordSaved(first)
	joined := joinPieces(append(first, held.unsavedTexts(false)...))["a"]
	if versions := joined.distinctVersions(); len(joined.events) != 40 || len(versions) != 1 {
		t.Errorf("%d events of versions %v, want 40 of one version", len(joined.events), versions)
	}
}

// Guards against retrying an item forever whose complete text was saved, for which
// replicas name no weight version.
func TestItemWithCompleteSavedTextFinishes(t *testing.T) {
	const events = 40
	cluster := newCluster(t, 0)
	stored := jobstore.New(cluster.store)
	submitted, payload := submission("job", 2)
	record := jobstore.Record{Owner: jobstore.Owner{Node: "gone", Address: "gone", Incarnation: 1}, Epoch: 1, Route: testRoute, Host: "drafts.example", AcceptedMs: time.Now().UnixMilli()}
	if _, _, err := stored.Accept(context.Background(), "job", record, payload); err != nil {
		t.Fatal(err)
	}
	var saved []jobstore.TextPiece
	for _, submitted := range submitted.Items {
		piece := jobstore.TextPiece{Item: submitted.ID}
		for number := 1; number <= events; number++ {
			piece.Events = append(piece.Events, fmt.Sprintf("%s.%d", submitted.ID, number))
			piece.Versions = append(piece.Versions, 1)
		}
		saved = append(saved, piece)
	}
	if _, _, err := stored.Append(context.Background(), "job", 0, jobstore.Chunk{Writer: "gone", Texts: saved}); err != nil {
		t.Fatal(err)
	}
	engine := startEngine(t, events)
	node := cluster.addNode("node-0", []*testEngine{engine})
	checkResults(t, "job", cluster.readAll(node, "job", 2), 2, events)
	if runs := engine.runCount(); runs != 2 {
		t.Errorf("%d runs of two items, want 2", runs)
	}
}

// Texts must be saved with each append of results, which costs no further call.
func TestTextsAreSavedWithResults(t *testing.T) {
	running := &item{Item: &Item{ID: "long"}}
	for number := range 2 * minSavedEvents {
		running.progress.add(fmt.Sprint(number), 1)
	}
	held := &job{items: map[string]*item{"long": running}, order: []string{"long"}, textsSavedAt: time.Now().Add(-textSaveIntervalWithResults - time.Millisecond)}
	if pieces := held.unsavedTexts(false); len(pieces) != 0 {
		t.Errorf("%d texts saved without results before the interval passed", len(pieces))
	}
	if pieces := held.unsavedTexts(true); len(pieces) != 1 {
		t.Errorf("%d texts saved with results, want 1", len(pieces))
	}
}
