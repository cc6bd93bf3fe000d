package forward

import "time"

// Meter counts requests that began to run.
type Meter interface {
	// Began counts a request of a tenant, empty for none, that began to run at a
	// time.
	Began(tenant string, at time.Time)
}

// noMeter is the Meter where usage is not reported.
type noMeter struct{}

// Began implements Meter.
func (noMeter) Began(string, time.Time) {}
