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

// fakeCodec is a codec for which any status means that the machine is retired.
type fakeCodec struct{}

func (fakeCodec) IsRetired(status []byte) (bool, error) { return len(status) > 0, nil }

func (fakeCodec) RetiredStatus() ([]byte, error) { return []byte(`true`), nil }

func newRetirements(ctx context.Context, store objectstore.Store) *retirements {
	return &retirements{
		kind: retirementKind, store: store, codec: fakeCodec{}, node: "node-0", nodes: func() []string { return []string{"node-0"} },
		logger: klog.Background(), ctx: ctx, pending: map[string]bool{},
	}
}

// Writes to a withdrawn retirement must stop, and a later one of the same machine must be
// processed.
func TestRetirementsWithdrawn(t *testing.T) {
	for _, test := range []struct {
		name string
		// withdraw notifies the node that the retirement was deleted.
		withdraw func(*retirements)
	}{
		{"without notification", func(*retirements) {}},
		{"deletion event", func(r *retirements) {
			r.Apply([]objectstore.Change{{Object: objectstore.Object{Name: retiredMachine}, Deleted: true}}, false)
		}},
		{"missing from a list", func(r *retirements) { r.Replace(nil, false) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := metastore.New()
				retired := newRetirements(t.Context(), store)
				retired.Replace([]objectstore.Object{{Name: retiredMachine}}, false)
				test.withdraw(retired)
				time.Sleep(time.Minute)
				if attempts := store.Calls("status"); attempts > 1 {
					t.Errorf("%d status writes to a withdrawn retirement", attempts)
				}
				object := store.Write(retirementKind, retiredMachine, true)
				retired.Replace([]objectstore.Object{object}, false)
				time.Sleep(time.Minute)
				stored, err := store.Get(t.Context(), retirementKind, retiredMachine, objectstore.Linearizable)
				if err != nil || len(stored.Status) == 0 {
					t.Errorf("later retirement has no status: %v", err)
				}
			})
		})
	}
}
