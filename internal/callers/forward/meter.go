package forward

import "time"

// Meter counts requests that began to run.
type Meter interface {
	// CountRequest counts a request of a tenant, empty for none, that began to run at a
	// time.
	CountRequest(tenant string, at time.Time)
}

// noMeter is the Meter where usage is not reported.
type noMeter struct{}

// CountRequest implements Meter.
func (noMeter) CountRequest(string, time.Time) {}
