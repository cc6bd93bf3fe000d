package batch

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against a former owner that serves its outdated results of a job because the job
// was ended there before it learned of its successor.
func TestEndAtFormerOwnerServesNewResults(t *testing.T) {
	for _, test := range []struct {
		name string
		// down are the store calls that fail until the partition heals.
		down []string
	}{
		{"store accepts the end", []string{"get"}},
		{"end repeated at the successor", []string{"get", "status"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newHoldingEngine(t)
			cluster, former, successor, endStaleReads := newSupersededOwner(t, engine)
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
				return metastore.NoFault
			})
			endStaleReads()
			// The former owner's runs must not finish.
			held.cancel()
			engine.release()
			listed := cluster.readAll(successor, "job", 6)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			endErr := former.End(ctx, "job")
			cluster.store.SetFault(nil)
			cluster.setDisconnected("node-0", false)
			if endErr != nil {
				if err := successor.End(context.Background(), "job"); err != nil {
					t.Fatal(err)
				}
			}
			// This allows the former owner more time than it may take to learn of its
			// successor.
			returned := 0
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && returned < len(listed); time.Sleep(20 * time.Millisecond) {
				if page, err := former.Read(context.Background(), "job", 0, 0); err == nil {
					returned = len(page.Results)
				}
			}
			if returned < len(listed) {
				t.Errorf("five seconds after it is connected again the former owner returns %d results, %d were read before", returned, len(listed))
			}
		})
	}
}
