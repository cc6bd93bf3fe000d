package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestAdaptiveBoundFollowsWhatTheServiceBears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bound := NewAdaptive(40)
		var mutex sync.Mutex
		active, bears, refused := 0, 10, 0
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for range 60 {
			callers.Go(func() {
				for bound.Enter(ctx) == nil {
					mutex.Lock()
					active++
					overloaded := active > bears
					if overloaded {
						refused++
					}
					mutex.Unlock()
					time.Sleep(30 * time.Millisecond)
					mutex.Lock()
					active--
					mutex.Unlock()
					bound.Leave(overloaded)
				}
			})
		}
		time.Sleep(10 * time.Second)
		if limit := bound.Limit(); limit < 5 || limit > 14 {
			t.Errorf("the bound is %d where the service bears %d", limit, bears)
		}
		mutex.Lock()
		bears, refused = 100, 0
		mutex.Unlock()
		time.Sleep(10 * time.Second)
		if limit := bound.Limit(); limit != 40 || refused > 0 {
			t.Errorf("the bound is %d once the service bears all, %d calls were refused", limit, refused)
		}
		cancel()
		callers.Wait()
	})
}

func TestAdaptiveBoundHoldsAndIsLowered(t *testing.T) {
	bound := NewAdaptive(2)
	for range 2 {
		if err := bound.Enter(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var refused *RefusedError
	if err := bound.Enter(ctx); !errors.As(err, &refused) {
		t.Errorf("a third call: %v", err)
	}
	bound.SetMost(1)
	bound.Leave(false)
	if limit := bound.Limit(); limit != 1 {
		t.Errorf("the bound is %d after its most was lowered to 1", limit)
	}
}
