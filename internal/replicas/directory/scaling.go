package directory

import "time"

// Scaling holds the autoscaling limits of a service and the prices of its replicas.
type Scaling struct {
	// Least and Most bound the number of replicas per zone.
	Least int
	Most  int
	// Boot is the time from an order until the replica serves.
	Boot time.Duration
	// SpotPrice is the price of a spot replica as a fraction of the regular price. 0 if
	// there are no spot replicas.
	SpotPrice float64
	// ZonePrices is the price of a replica by zone, in an arbitrary unit.
	ZonePrices map[string]float64
}
