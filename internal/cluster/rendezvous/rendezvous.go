// Package rendezvous ranks candidates for a key by highest-random-weight
// hashing, so that each key moves only when its own candidate goes.
package rendezvous

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// mixer is the multiplier of the splitmix64 finalizer.
const mixer = 0xbf58476d1ce4e5b9

// Hash returns the hash of a text.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Weight joins the hashes of a key and of a candidate.
func Weight(key, candidate uint64) uint64 {
	mixed := key ^ candidate
	mixed ^= mixed >> 30
	mixed *= mixer
	mixed ^= mixed >> 27
	return mixed * mixer
}

// Candidate is something that can be ranked.
type Candidate struct {
	ID   string
	Zone string
	// Capacity is how much the candidate can take, in any unit; 0 for unknown.
	Capacity uint32
}

// Rank orders candidates by weight for a key, the greatest first.
func Rank(key string, candidates []Candidate) []Candidate {
	keyHash := Hash(key)
	weighed := make([]weighedCandidate, len(candidates))
	for i, candidate := range candidates {
		weighed[i] = weighedCandidate{Candidate: candidate, weight: Weight(keyHash, Hash(candidate.ID))}
	}
	slices.SortFunc(weighed, func(a, b weighedCandidate) int {
		if order := cmp.Compare(b.weight, a.weight); order != 0 {
			return order
		}
		return strings.Compare(a.ID, b.ID)
	})
	ranked := make([]Candidate, len(weighed))
	for i, candidate := range weighed {
		ranked[i] = candidate.Candidate
	}
	return ranked
}

// RankNames orders names as Rank does candidates.
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

// RankByCapacity orders candidates as Rank does, but those of about the greatest
// capacity before those with less. Candidates that differ by less than a factor of
// two or so share a class, so that a key's load is spread among all of them.
func RankByCapacity(key string, candidates []Candidate) []Candidate {
	ranked := Rank(key, candidates)
	slices.SortStableFunc(ranked, func(a, b Candidate) int { return capacityClass(b.Capacity) - capacityClass(a.Capacity) })
	return ranked
}

// capacityClass is the power of two that a capacity lies under.
func capacityClass(capacity uint32) int { return bits.Len32(capacity) }

// weighedCandidate is a candidate with its weight for one key.
type weighedCandidate struct {
	Candidate
	weight uint64
}

// RankAcrossZones orders candidates as Rank does, but takes one of each zone
// before the second of any, so that the first few share no zone.
func RankAcrossZones(key string, candidates []Candidate) []Candidate {
	ranked := Rank(key, candidates)
	spread := make([]Candidate, 0, len(ranked))
	for len(ranked) > 0 {
		seen := map[string]bool{}
		rest := ranked[:0:0]
		for _, candidate := range ranked {
			if seen[candidate.Zone] {
				rest = append(rest, candidate)
				continue
			}
			seen[candidate.Zone] = true
			spread = append(spread, candidate)
		}
		ranked = rest
	}
	return spread
}
