package storerelay

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/pathtally/pathtally/internal/replicas/residency"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

func TestBodyStaysInAllowedRegions(t *testing.T) {
	for _, test := range []struct {
		region  string
		allowed bool
	}{{"home", true}, {"entry", true}, {"third", false}, {"", false}} {
		pair := newRelayPair()
		pair.direct.fail = &objectstore.RefusedError{Status: 503}
		pair.relay.config.Region = func(string) string { return test.region }
		ctx := residency.WithBounds(context.Background(), residency.NewBounds(residency.Of([]string{"home"}, nil), "entry"))
		for range 2 {
			// The second call is made once the store is known to refuse this node.
			_, err := pair.relay.Create(ctx, "payloads", "job", json.RawMessage(`"body"`))
			var refused *objectstore.RefusedError
			if test.allowed == errors.As(err, &refused) {
				t.Errorf("helper in region %q: got error %v", test.region, err)
			}
		}
		if called := pair.helperDirect.calls > 0; called != test.allowed {
			t.Errorf("helper in region %q: helper made %d calls", test.region, pair.helperDirect.calls)
		}
		if _, err := pair.relay.Create(context.Background(), "nodes", "other", json.RawMessage(`1`)); err != nil {
			t.Errorf("helper in region %q: call without a body: %v", test.region, err)
		}
	}
}
