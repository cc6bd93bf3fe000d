package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

const (
	retirementKind = "retirements"
	retiredMachine = "machine-1"
)

// plainRetirement is a codec whose status is there or not.
type plainRetirement struct{}

func (plainRetirement) Retired(status []byte) (bool, error) { return len(status) > 0, nil }

func (plainRetirement) Retirement() ([]byte, error) { return []byte(`true`), nil }

func newRetirements(ctx context.Context, store objectstore.Store) *retirements {
	return &retirements{
		kind: retirementKind, store: store, codec: plainRetirement{}, node: "node-0", nodes: func() []string { return []string{"node-0"} },
		logger: klog.Background(), ctx: ctx, pending: map[string]bool{},
	}
}

// A retirement that the platform withdraws is not answered for ever, and a later one of
// the same machine is answered.
func TestAWithdrawnRetirementIsLeftAlone(t *testing.T) {
	for _, test := range []struct {
		name string
		// tell has the node hear that the retirement is gone.
		tell func(*retirements)
	}{
		{"nothing is heard of it", func(*retirements) {}},
		{"it is heard of", func(r *retirements) {
			r.Apply([]objectstore.Change{{Object: objectstore.Object{Name: retiredMachine}, Deleted: true}}, false)
		}},
		{"a listing lacks it", func(r *retirements) { r.Replace(nil, false) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := metastore.New()
				retired := newRetirements(t.Context(), store)
				retired.Replace([]objectstore.Object{{Name: retiredMachine}}, false)
				test.tell(retired)
				time.Sleep(time.Minute)
				if tries := store.Calls("status"); tries > 1 {
					t.Errorf("%d answers to a retirement that is gone", tries)
				}
				object := store.Write(retirementKind, retiredMachine, true)
				retired.Replace([]objectstore.Object{object}, false)
				time.Sleep(time.Minute)
				standing, err := store.Get(t.Context(), retirementKind, retiredMachine, objectstore.Linearizable)
				if err != nil || len(standing.Status) == 0 {
					t.Errorf("the later retirement has no answer: %v", err)
				}
			})
		})
	}
}
