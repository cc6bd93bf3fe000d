package storerelay

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/pathtally/pathtally/internal/replicas/residency"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

func TestBodiesPassThroughNoThirdRegion(t *testing.T) {
	for _, test := range []struct {
		region string
		passes bool
	}{{"home", true}, {"entry", true}, {"third", false}, {"", false}} {
		pair := newPair()
		pair.own.fail = &objectstore.RefusedError{Status: 503}
		pair.relay.config.Region = func(string) string { return test.region }
		ctx := residency.WithBounds(context.Background(), residency.NewBounds(residency.Of([]string{"home"}, nil), "entry"))
		for range 2 {
			// The second call is made once the store is known to refuse this node.
			_, err := pair.relay.Create(ctx, "payloads", "job", json.RawMessage(`"body"`))
			var refused *objectstore.RefusedError
			if test.passes == errors.As(err, &refused) {
				t.Errorf("helper in region %q: %v", test.region, err)
			}
		}
		if passed := pair.other.calls > 0; passed != test.passes {
			t.Errorf("helper in region %q: %d calls made there", test.region, pair.other.calls)
		}
		if _, err := pair.relay.Create(context.Background(), "nodes", "other", json.RawMessage(`1`)); err != nil {
			t.Errorf("helper in region %q: a call that carries no body: %v", test.region, err)
		}
	}
}
