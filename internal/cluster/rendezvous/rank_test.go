package rendezvous

import (
	"fmt"
	"testing"
)

func TestRankByCapacityRanksLargestFirst(t *testing.T) {
	var candidates []Candidate
	for number := range 12 {
		// In millicores: two of 800, two of 600, eight of 192 or unknown.
		capacity := []uint32{800, 600, 192, 0, 192, 192}[number%6]
		candidates = append(candidates, Candidate{ID: fmt.Sprint("node-", number), Capacity: capacity})
	}
	first := map[string]int{}
	for key := range 300 {
		ranked := RankByCapacity(fmt.Sprint("key-", key), candidates)
		if len(ranked) != len(candidates) {
			t.Fatalf("%d of %d candidates ranked", len(ranked), len(candidates))
		}
		for rank, candidate := range ranked {
			if large := candidate.Capacity >= 600; large != (rank < 4) {
				t.Fatalf("%s with capacity %d has rank %d", candidate.ID, candidate.Capacity, rank)
			}
		}
		first[ranked[0].ID]++
	}
	for id, count := range first {
		if count < 40 {
			t.Errorf("%s is first for %d of 300 keys, want at least 40", id, count)
		}
	}
	if len(first) != 4 {
		t.Errorf("%d candidates rank first for some key, want the four largest", len(first))
	}
}

func TestRankNamesMatchesRank(t *testing.T) {
	var names []string
	var candidates []Candidate
	for number := range 9 {
		names = append(names, fmt.Sprint("node-", number))
		candidates = append(candidates, Candidate{ID: names[number]})
	}
	ranked := RankNames("key", names)
	for rank, candidate := range Rank("key", candidates) {
		if ranked[rank] != candidate.ID {
			t.Errorf("rank %d is %s, want %s", rank, ranked[rank], candidate.ID)
		}
	}
}
