package statistics

import "github.com/pathtally/pathtally/internal/jobs/placement"

// EventRates holds the event rates by model: the number of events per expected token.
type EventRates map[string]*placement.EventRate

// Of returns the rate of a model. It adds one without observations if there is none.
func (r EventRates) Of(model string) *placement.EventRate {
	rate := r[model]
	if rate == nil {
		rate = &placement.EventRate{}
		r[model] = rate
	}
	return rate
}
