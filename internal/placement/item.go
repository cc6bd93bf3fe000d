package placement

import "time"

// Item is an item that waits for a replica.
type Item struct {
	// Priority is that of its tenant or route, 0 the most urgent.
	Priority int
	// TakenUp is when the node took its job up.
	TakenUp time.Time
	// Rank is its place in its job's order.
	Rank int
}

// Compare orders items that wait: those of more urgent tenants or routes first, then
// those of older jobs where they differ by much, then by rank.
func Compare(a, b Item) int {
	if order := a.Priority - b.Priority; order != 0 {
		return order
	}
	if order := a.TakenUp.Truncate(ageStep).Compare(b.TakenUp.Truncate(ageStep)); order != 0 {
		return order
	}
	return a.Rank - b.Rank
}

// ageStep is the difference in age from which an older job goes first.
const ageStep = 2 * time.Second
