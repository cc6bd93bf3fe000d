package rendezvous

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// mixMultiplier is the multiplier of the splitmix64 finalizer.
const mixMultiplier = 0xbf58476d1ce4e5b9

// Hash returns the 64-bit hash of a string.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Weight returns the weight of a candidate for a key, given the hashes of both.
func Weight(key, candidate uint64) uint64 {
	mixed := key ^ candidate
	mixed ^= mixed >> 30
	mixed *= mixMultiplier
	mixed ^= mixed >> 27
	return mixed * mixMultiplier
}

// Candidate is a node or a replica that can be ranked.
type Candidate struct {
	ID   string
	Zone string
	// Capacity is the candidate's capacity in any unit, 0 for unknown.
	Capacity uint32
}

// Rank returns the candidates by weight for a key, the greatest first.
func Rank(key string, candidates []Candidate) []Candidate {
	keyHash := Hash(key)
	weighted := make([]weightedCandidate, len(candidates))
	for i, candidate := range candidates {
		weighted[i] = weightedCandidate{Candidate: candidate, weight: Weight(keyHash, Hash(candidate.ID))}
	}
	slices.SortFunc(weighted, func(a, b weightedCandidate) int {
		if order := cmp.Compare(b.weight, a.weight); order != 0 {
			return order
		}
		return strings.Compare(a.ID, b.ID)
	})
	ranked := make([]Candidate, len(weighted))
	for i, candidate := range weighted {
		ranked[i] = candidate.Candidate
	}
	return ranked
}

// RankNames returns names in the order in which Rank orders candidates.
func RankNames(key string, names []string) []string {
	candidates := make([]Candidate, len(names))
	for i, name := range names {
		candidates[i].ID = name
	}
	ranked := make([]string, len(names))
	for i, candidate := range Rank(key, candidates) {
		ranked[i] = candidate.ID
	}
	return ranked
}

// RankByCapacity orders candidates as Rank does, but puts those in a higher capacity class
// first. A class spans a factor of two, so that keys are spread over all candidates of
// about the same capacity.
func RankByCapacity(key string, candidates []Candidate) []Candidate {
	ranked := Rank(key, candidates)
	slices.SortStableFunc(ranked, func(a, b Candidate) int { return capacityClass(b.Capacity) - capacityClass(a.Capacity) })
	return ranked
}

// capacityClass returns the number of bits of a capacity, 0 for unknown.
func capacityClass(capacity uint32) int { return bits.Len32(capacity) }

// weightedCandidate is a candidate with its weight for a key.
type weightedCandidate struct {
	Candidate
	weight uint64
}

// RankAcrossZones orders candidates as Rank does, but takes one of each zone before the
// second of any, so that the first few are in different zones.
func RankAcrossZones(key string, candidates []Candidate) []Candidate {
	ranked := Rank(key, candidates)
	result := make([]Candidate, 0, len(ranked))
	for len(ranked) > 0 {
		seen := map[string]bool{}
		rest := ranked[:0:0]
		for _, candidate := range ranked {
			if seen[candidate.Zone] {
				rest = append(rest, candidate)
				continue
			}
			seen[candidate.Zone] = true
			result = append(result, candidate)
		}
		ranked = rest
	}
	return result
}
