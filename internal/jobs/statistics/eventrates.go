package statistics

import "github.com/pathtally/pathtally/internal/jobs/placement"

// EventRates are the event rates of models: how many events their texts have for each
// token expected.
type EventRates map[string]*placement.EventRate

// Of returns the rate of a model, which knows nothing at first.
func (r EventRates) Of(model string) *placement.EventRate {
	rate := r[model]
	if rate == nil {
		rate = &placement.EventRate{}
		r[model] = rate
	}
	return rate
}
