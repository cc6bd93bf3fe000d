package batch

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against a former owner that serves its outdated results of a job because the job
// was ended there before it learned of its successor.
func TestAnEndAtAFormerOwnerDoesNotMakeItsOldResultsStand(t *testing.T) {
	for _, test := range []struct {
		name string
		// down are the store calls that fail until the partition heals.
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
			// The former owner's runs must not finish.
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
			// This allows the former owner more time than it may take to learn of its
			// successor.
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
