package directory

import "time"

// Scaling bounds how many replicas of a service may be ordered, and gives what
// they cost.
type Scaling struct {
	// Least and Most bound the replicas of each zone.
	Least int
	Most  int
	// Boot is the time from an order until the replica serves.
	Boot time.Duration
	// SpotPrice is the price of replicas that may be taken away, as a part of the
	// price of the others; 0 where there are none.
	SpotPrice float64
	// ZonePrices is the price of a replica in each zone, in any unit.
	ZonePrices map[string]float64
}
