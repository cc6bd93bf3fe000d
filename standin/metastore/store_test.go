package metastore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A delayed write must take effect even if its caller cancels.
func TestDelayedWritesTakeEffect(t *testing.T) {
	for _, test := range []struct {
		name string
		Delay
		found bool
	}{
		{"delayed execution", Delay{Before: time.Second}, false},
		{"delayed response", Delay{After: time.Second}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			store := New()
			store.SetDelay(func(Call) Delay { return test.Delay })
			ctx, cancel := context.WithCancel(t.Context())
			start := time.Now()
			var took time.Duration
			go func() {
				store.Create(ctx, "kind", "name", []byte(`1`))
				took = time.Since(start)
			}()
			time.Sleep(time.Second / 2)
			cancel()
			if found := len(store.Objects("kind")) == 1; found != test.found {
				t.Errorf("%s: executed before the cancellation: %v", test.name, found)
			}
			time.Sleep(time.Second)
			if len(store.Objects("kind")) != 1 || took != time.Second {
				t.Errorf("%s: %d objects, response after %s, want 1 object after 1s", test.name, len(store.Objects("kind")), took)
			}
		})
	}
}
