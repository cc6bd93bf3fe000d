package jobstore

import (
	"context"
	"testing"

	"github.com/pathtally/pathtally/standin/metastore"
)

// Symptom: a job is never taken over while another one has results whose id begins
// with that of the first and a hyphen.
//
// Cause: the results of a job are listed by the beginning of their names, and those of
// the other job were taken for chunks out of order.
func TestResultsOfAJobWhoseIdBeginsAnothersAreRead(t *testing.T) {
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
				t.Errorf("job %s shows a result of %s", id, result.ID)
			}
		}
	}
}
