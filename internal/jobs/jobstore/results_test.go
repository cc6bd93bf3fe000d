package jobstore

import (
	"context"
	"testing"

	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against mistaking the results of another job for those of this one if its id starts
// with this job's id and a hyphen.
func TestResultsOfJobWithPrefixID(t *testing.T) {
	jobs := New(metastore.New())
	for _, id := range []string{"run", "run-a", "run-", "run-000000"} {
		for index := range 2 {
			written := Chunk{Writer: id, Results: []Result{{ID: id, State: Abandoned}}}
			if _, _, err := jobs.Append(context.Background(), id, index, written); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, id := range []string{"run", "run-a", "run-", "run-000000"} {
		listing, err := jobs.Results(context.Background(), id, 0)
		if err != nil || listing.Chunks != 2 {
			t.Fatalf("job %s: %d chunks, error %v", id, listing.Chunks, err)
		}
		for _, result := range listing.Results {
			if result.ID != id {
				t.Errorf("job %s lists a result of job %s", id, result.ID)
			}
		}
	}
}
