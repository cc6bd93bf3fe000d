package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func reasonOf(err error) Reason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

func enter(gate *Gate, priority int, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return gate.Enter(ctx, priority)
}

// Guards against queued requests that are admitted out of priority order or wait too long.
func TestGateQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := NewGate(Bounds{RequestsPerSecond: 1000, Burst: 100, MaxInFlight: 1, MaxQueue: 1})
		if err := enter(gate, 50, time.Second); err != nil {
			t.Fatal(err)
		}
		var waiting sync.WaitGroup
		var low, high error
		waiting.Go(func() { low = enter(gate, 10, time.Minute) })
		synctest.Wait()
		start := time.Now()
		if err := enter(gate, 10, time.Minute); reasonOf(err) != ReasonQueue || time.Since(start) > 0 {
			t.Errorf("Enter at a full queue returned %v after %s", err, time.Since(start))
		}
		waiting.Go(func() { high = enter(gate, 90, time.Minute) })
		synctest.Wait()
		gate.Leave()
		waiting.Wait()
		if reasonOf(low) != ReasonShed || high != nil {
			t.Errorf("the high-priority request got %v, the displaced one %v", high, low)
		}
		if err := enter(gate, 50, 10*time.Millisecond); reasonOf(err) != ReasonDeadline {
			t.Errorf("Enter returned %v after its deadline passed in the queue", err)
		}
		waiting.Go(func() { low = enter(gate, 50, time.Minute) })
		synctest.Wait()
		gate.Stop()
		waiting.Wait()
		if reasonOf(low) != ReasonStopping {
			t.Errorf("Stop ended the queued request with %v", low)
		}
	})
}

func TestGateRateLimitRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := NewGate(Bounds{RequestsPerSecond: 2, Burst: 1, MaxInFlight: 10, MaxQueue: 1})
		if err := enter(gate, 50, time.Second); err != nil {
			t.Fatal(err)
		}
		err := enter(gate, 50, time.Second)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != ReasonRate || refused.RetryAfter != 500*time.Millisecond {
			t.Fatalf("Enter above the rate returned %v", err)
		}
		time.Sleep(refused.RetryAfter)
		if err := enter(gate, 50, time.Second); err != nil {
			t.Errorf("Enter after Retry-After returned %v", err)
		}
	})
}

func TestRetryBudgetShareOfSuccesses(t *testing.T) {
	budget := NewRetryBudget(10)
	spent := 0
	for budget.Spend() {
		spent++
	}
	for range 100 {
		budget.RecordSuccess()
	}
	earned := 0
	for budget.Spend() {
		earned++
	}
	if spent != initialBudget/retryCost || earned != 10 {
		t.Errorf("allowed %d retries at the start and %d after 100 successes", spent, earned)
	}
}
