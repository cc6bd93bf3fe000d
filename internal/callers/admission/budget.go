package admission

import "sync/atomic"

const (
	// budgetUnit is the price of one retry.
	budgetUnit = 1000
	// initialBudget allows some retries before the first success.
	initialBudget = 10 * budgetUnit
	// maxBudget bounds what successes can save up.
	maxBudget = 100 * budgetUnit
)

// RetryBudget allows retries while they are a small share of the successes, so that a
// failing target is not overloaded by them. It is safe
// for use by many goroutines.
type RetryBudget struct {
	balance atomic.Int64
	percent atomic.Int64
}

// NewRetryBudget returns a budget that earns a share, in percent, of each
// success.
func NewRetryBudget(percent float64) *RetryBudget {
	budget := &RetryBudget{}
	budget.balance.Store(initialBudget)
	budget.SetPercent(percent)
	return budget
}

// SetPercent changes the share, in percent.
func (b *RetryBudget) SetPercent(percent float64) {
	b.percent.Store(int64(percent * budgetUnit / 100))
}

// Succeeded earns the share of one success.
func (b *RetryBudget) Succeeded() {
	if b.balance.Load() < maxBudget {
		b.balance.Add(b.percent.Load())
	}
}

// Spend pays for one retry, and returns false if the budget is spent.
func (b *RetryBudget) Spend() bool {
	for {
		balance := b.balance.Load()
		if balance < budgetUnit {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-budgetUnit) {
			return true
		}
	}
}
