package admission

import "sync/atomic"

const (
	// budgetUnit is what one retry costs.
	budgetUnit = 1000
	// budgetFloor lets a quiet node retry a little at all.
	budgetFloor = 10 * budgetUnit
	// budgetCeiling bounds how much a long success can save up.
	budgetCeiling = 100 * budgetUnit
)

// RetryBudget lets retries through while they are a small share of recent
// successes, so that a failing target is not buried under them. It is safe
// for use by many goroutines.
type RetryBudget struct {
	balance atomic.Int64
	percent atomic.Int64
}

// NewRetryBudget returns a budget that earns a share, in percent, of each
// success.
func NewRetryBudget(percent float64) *RetryBudget {
	budget := &RetryBudget{}
	budget.balance.Store(budgetFloor)
	budget.SetPercent(percent)
	return budget
}

// SetPercent changes the share.
func (b *RetryBudget) SetPercent(percent float64) {
	b.percent.Store(int64(percent * budgetUnit / 100))
}

// Succeeded earns the share of one success.
func (b *RetryBudget) Succeeded() {
	if b.balance.Load() < budgetCeiling {
		b.balance.Add(b.percent.Load())
	}
}

// Spend pays for one retry, or tells that there is nothing left.
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
