package metastore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A slow write is carried out although its caller has gone, and answered late.
func TestSlowWritesAreCarriedOut(t *testing.T) {
	for _, test := range []struct {
		name string
		Delay
		found bool
	}{
		{"slow to begin", Delay{Before: time.Second}, false},
		{"slow to answer", Delay{After: time.Second}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := New()
			store.SetDelay(func(Call) Delay { return test.Delay })
			ctx, leave := context.WithCancel(t.Context())
			began := time.Now()
			var took time.Duration
			go func() {
				store.Create(ctx, "kind", "name", []byte(`1`))
				took = time.Since(began)
			}()
			time.Sleep(time.Second / 2)
			leave()
			if found := len(store.Objects("kind")) == 1; found != test.found {
				t.Errorf("%s: carried out early is %v", test.name, found)
			}
			time.Sleep(time.Second)
			if len(store.Objects("kind")) != 1 || took != time.Second {
				t.Errorf("%s: %d objects, answered after %s", test.name, len(store.Objects("kind")), took)
			}
		})
	}
}
