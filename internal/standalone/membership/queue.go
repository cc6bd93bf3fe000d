package membership

import (
	"slices"
	"strings"
)

// queue holds the keys of changed records with how often each is still to be
// passed on.
type queue map[string]int

func (q queue) add(key string, transmissions int) { q[key] = transmissions }

// take returns up to limit keys, those passed on least first, and counts them
// as passed on once.
func (q queue) take(limit int) []string {
	keys := make([]string, 0, len(q))
	for key := range q {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		if q[a] != q[b] {
			return q[b] - q[a]
		}
		return strings.Compare(a, b)
	})
	keys = keys[:min(limit, len(keys))]
	for _, key := range keys {
		q[key]--
		if q[key] <= 0 {
			delete(q, key)
		}
	}
	return keys
}

// known counts every key as passed on once, after a peer has shown that it
// holds all that is held here.
func (q queue) known() {
	for key := range q {
		q[key]--
		if q[key] <= 0 {
			delete(q, key)
		}
	}
}
