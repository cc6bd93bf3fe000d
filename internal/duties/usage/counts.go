package usage

// Counts are the numbers of requests by tenant.
type Counts map[string]uint64

// total returns the number of requests of all tenants.
func (c Counts) total() uint64 {
	sum := uint64(0)
	for _, count := range c {
		sum += count
	}
	return sum
}
