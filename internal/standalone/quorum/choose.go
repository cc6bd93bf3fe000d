package quorum

import (
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

// choose returns an odd number of seats. It takes one seat of each zone before
// a second one of any zone. Members with a data folder come first, and among
// equals those that hold a seat already.
func (c *Coordinator) choose(present []Seat) []Seat {
	usable := c.config.Members.Usable()
	byID := make(map[string]wire.Member, len(usable))
	candidates := make([]rendezvous.Candidate, 0, len(usable))
	for _, member := range usable {
		byID[member.ID] = member
		candidates = append(candidates, rendezvous.Candidate{ID: member.ID, Zone: member.Zone})
	}
	current := slices.Clone(present)
	var ranked []Seat
	for _, candidate := range rendezvous.RankAcrossZones(LeaseName, candidates) {
		ranked = append(ranked, seatOf(byID[candidate.ID]))
	}
	pool := slices.Concat(current, ranked)
	slices.SortStableFunc(pool, func(a, b Seat) int {
		if a.Durable == b.Durable {
			return 0
		}
		if a.Durable {
			return -1
		}
		return 1
	})
	target := seatCount(len(usable))
	var seats []Seat
	seated, usedZones := map[string]bool{}, map[string]bool{}
	for _, newZoneOnly := range []bool{true, false} {
		for _, candidate := range pool {
			if len(seats) >= target || seated[candidate.ID] || (newZoneOnly && usedZones[candidate.Zone]) {
				continue
			}
			seats = append(seats, candidate)
			seated[candidate.ID], usedZones[candidate.Zone] = true, true
		}
	}
	return seats
}

// seatOf returns the seat that a member would hold.
func seatOf(member wire.Member) Seat {
	return Seat{ID: member.ID, Identity: member.Identity, Address: member.Address, Zone: member.Zone, Durable: member.Storage}
}

// seatCount returns the greatest odd number up to maxSeats that the members can
// fill, and at least 1.
func seatCount(members int) int {
	count := min(members, maxSeats)
	if count%2 == 0 {
		count--
	}
	return max(count, 1)
}

// improves reports whether the seats justify a change of view: there are more
// of them, or equally many in more zones, or equally many in equally many zones
// with more data folders.
func improves(seats, current []Seat) bool {
	if len(seats) != len(current) {
		return len(seats) > len(current)
	}
	if countZones(seats) != countZones(current) {
		return countZones(seats) > countZones(current)
	}
	return countDurable(seats) > countDurable(current)
}
