package quorum

import (
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

// choose returns an odd number of seats: one of each zone first, and of those
// that could sit in a zone, members with a data folder and then those that
// have a seat already.
func (c *Coordinator) choose(present []Seat) []Seat {
	usable := c.config.Members.Usable()
	byID := make(map[string]wire.Member, len(usable))
	candidates := make([]rendezvous.Candidate, 0, len(usable))
	for _, member := range usable {
		byID[member.ID] = member
		candidates = append(candidates, rendezvous.Candidate{ID: member.ID, Zone: member.Zone})
	}
	current := slices.Clone(present)
	var newcomers []Seat
	for _, candidate := range rendezvous.RankAcrossZones(LeaseName, candidates) {
		newcomers = append(newcomers, seatOf(byID[candidate.ID]))
	}
	pool := slices.Concat(current, newcomers)
	slices.SortStableFunc(pool, func(a, b Seat) int {
		if a.Durable == b.Durable {
			return 0
		}
		if a.Durable {
			return -1
		}
		return 1
	})
	target := oddSeats(len(usable))
	var seats []Seat
	seated, zoned := map[string]bool{}, map[string]bool{}
	for _, freshZoneOnly := range []bool{true, false} {
		for _, candidate := range pool {
			if len(seats) >= target || seated[candidate.ID] || (freshZoneOnly && zoned[candidate.Zone]) {
				continue
			}
			seats = append(seats, candidate)
			seated[candidate.ID], zoned[candidate.Zone] = true, true
		}
	}
	return seats
}

func seatOf(member wire.Member) Seat {
	return Seat{ID: member.ID, Identity: member.Identity, Address: member.Address, Zone: member.Zone, Durable: member.Storage}
}

// oddSeats is the greatest odd number of seats up to maxSeats.
func oddSeats(members int) int {
	count := min(members, maxSeats)
	if count%2 == 0 {
		count--
	}
	return max(count, 1)
}

// better tells whether seats justify a change of view: more of them, over
// more zones, or with more data folders.
func better(seats, current []Seat) bool {
	if len(seats) != len(current) {
		return len(seats) > len(current)
	}
	if zones(seats) != zones(current) {
		return zones(seats) > zones(current)
	}
	return durable(seats) > durable(current)
}
