package batch

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
)

// Symptom: a node that is in touch shows fewer results of an ended job than were
// read at another one, for a minute and a half or for as long as its process lives.
//
// Sequence: the owner of a job is cut off; a successor takes the job over and lists
// results, which are read; an end of the job reaches the former owner before that
// one has looked up who owns the job; then the way is well again. The store takes
// that end at once, or does not answer and the caller repeats the end at the
// successor.
//
// Cause: a job that was ended here counts as settled. Nobody looks up any more who
// owns it, word of the end from another node finds it ended and is dropped, and what
// was held when the job was ended is shown from then on.
func TestAnEndAtAFormerOwnerDoesNotMakeItsOldResultsStand(t *testing.T) {
	for _, test := range []struct {
		name string
		// down are the calls that the store refuses until the way is well again.
		down []string
	}{
		{"the store takes the end", []string{"get"}},
		{"the end is repeated at the successor", []string{"get", "status"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := heldEngine(t)
			cluster, former, successor := displacedOwner(t, engine)
			former.mutex.Lock()
			held := former.jobs["job"]
			former.mutex.Unlock()
			if held == nil {
				t.Fatal("the former owner knows of its successor already")
			}
			cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
				for _, verb := range test.down {
					if call.Verb == verb {
						return metastore.Refused
					}
				}
				return metastore.Sound
			})
			// What the former owner runs finishes neither here nor there.
			held.cancel()
			engine.release()
			listed := cluster.readAll(successor, "job", 6)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			failed := former.End(ctx, "job")
			cluster.store.SetFault(nil)
			cluster.setCut("node-0", false)
			if failed != nil {
				if err := successor.End(context.Background(), "job"); err != nil {
					t.Fatal(err)
				}
			}
			// Longer than a node that has been cut off may take to be in touch.
			shown := 0
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && shown < len(listed); time.Sleep(20 * time.Millisecond) {
				if page, err := former.Read(context.Background(), "job", 0, 0); err == nil {
					shown = len(page.Results)
				}
			}
			if shown < len(listed) {
				t.Errorf("five seconds after the way is well again the former owner shows %d results, %d had been read", shown, len(listed))
			}
		})
	}
}
