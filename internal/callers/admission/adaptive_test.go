package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestAdaptiveFollowsServiceCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewAdaptive(40)
		var mutex sync.Mutex
		active, capacity, overloads := 0, 10, 0
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for range 60 {
			callers.Go(func() {
				for limiter.Enter(ctx) == nil {
					mutex.Lock()
					active++
					overloaded := active > capacity
					if overloaded {
						overloads++
					}
					mutex.Unlock()
					time.Sleep(30 * time.Millisecond)
					mutex.Lock()
					active--
					mutex.Unlock()
					limiter.Leave(overloaded)
				}
			})
		}
		time.Sleep(10 * time.Second)
		if limit := limiter.Limit(); limit < 5 || limit > 14 {
			t.Errorf("limit %d, but the service has capacity for %d calls", limit, capacity)
		}
		mutex.Lock()
		capacity, overloads = 100, 0
		mutex.Unlock()
		time.Sleep(10 * time.Second)
		if limit := limiter.Limit(); limit != 40 || overloads > 0 {
			t.Errorf("limit %d with an unloaded service, %d calls overloaded it", limit, overloads)
		}
		cancel()
		callers.Wait()
	})
}

func TestAdaptiveEnforcesLoweredMaximum(t *testing.T) {
	limiter := NewAdaptive(2)
	for range 2 {
		if err := limiter.Enter(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	var refused *RefusedError
	if err := limiter.Enter(ctx); !errors.As(err, &refused) {
		t.Errorf("Enter above the limit returned %v, want a RefusedError", err)
	}
	limiter.SetMaximum(1)
	limiter.Leave(false)
	if limit := limiter.Limit(); limit != 1 {
		t.Errorf("limit %d after the maximum was lowered to 1", limit)
	}
}
