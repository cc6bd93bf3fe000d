package forward

import "time"

// Meter counts requests that started to run.
type Meter interface {
	// CountRequest counts a request that started to run at a time. The tenant is empty if no
	// tenants are declared.
	CountRequest(tenant string, at time.Time)
}

// noMeter is a Meter that counts nothing.
type noMeter struct{}

func (noMeter) CountRequest(string, time.Time) {}
