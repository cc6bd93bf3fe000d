package admission

import "sync/atomic"

const (
	// retryCost is the cost of one retry, in the units of the balance.
	retryCost = 1000
	// initialBudget allows some retries before the first success.
	initialBudget = 10 * retryCost
	// maxBudget limits how much successes can add to the balance.
	maxBudget = 100 * retryCost
)

// RetryBudget limits retries to a share of the successful requests, so that retries do not
// overload a failing target. It is safe for concurrent use.
type RetryBudget struct {
	balance atomic.Int64
	// creditPerSuccess is what one success adds to the balance.
	creditPerSuccess atomic.Int64
}

// NewRetryBudget returns a budget that allows retries up to a percentage of the successes.
func NewRetryBudget(percent float64) *RetryBudget {
	budget := &RetryBudget{}
	budget.balance.Store(initialBudget)
	budget.SetPercent(percent)
	return budget
}

// SetPercent changes the allowed percentage of retries.
func (b *RetryBudget) SetPercent(percent float64) {
	b.creditPerSuccess.Store(int64(percent * retryCost / 100))
}

// RecordSuccess records a success, which adds to the budget.
func (b *RetryBudget) RecordSuccess() {
	if b.balance.Load() < maxBudget {
		b.balance.Add(b.creditPerSuccess.Load())
	}
}

// Spend takes one retry from the budget, and returns false if the budget is exhausted.
func (b *RetryBudget) Spend() bool {
	for {
		balance := b.balance.Load()
		if balance < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}
