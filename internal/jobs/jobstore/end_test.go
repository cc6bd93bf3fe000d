package jobstore

import (
	"context"
	"errors"
	"testing"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against reporting an end as not stored that the store may have stored, or may still store.
func TestEndOutcome(t *testing.T) {
	for _, test := range []struct {
		name string
		// faults are those of the first attempts; the last one is that of all later ones.
		faults  []metastore.Fault
		unknown bool
	}{
		{"refused", []metastore.Fault{metastore.Refused}, false},
		{"dropped", []metastore.Fault{metastore.Dropped}, true},
		{"response lost, then refused", []metastore.Fault{metastore.ResponseLost, metastore.Refused}, true},
		{"deferred, then refused", []metastore.Fault{metastore.Deferred, metastore.Refused}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			backend := metastore.New()
			backend.Write(KindJobs, "job", Record{})
			attempts := 0
			backend.SetFault(func(metastore.Call) metastore.Fault {
				attempts++
				return test.faults[min(attempts, len(test.faults))-1]
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*endRetryInterval)
			defer cancel()
			_, err := New(backend).End(ctx, "job")
			var unknown *EndUnknownError
			var refused *objectstore.RefusedError
			if errors.As(err, &unknown) != test.unknown || !test.unknown && !errors.As(err, &refused) {
				t.Errorf("error %v, want an unknown outcome: %v", err, test.unknown)
			}
			if attempts < len(test.faults) {
				t.Errorf("%d attempts, so the test proves nothing", attempts)
			}
		})
	}
	if _, err := New(metastore.New()).End(t.Context(), "none"); !errors.Is(err, ErrNoSuchJob) {
		t.Errorf("error %v for a job that is not stored", err)
	}
}
