package membership

import (
	"slices"
	"strings"
)

// queue maps the keys of changed records to the number of times that each is
// still to be sent.
type queue map[string]int

func (q queue) add(key string, transmissions int) { q[key] = transmissions }

// take returns up to limit keys, those with the most sends left first, and counts
// each as sent once.
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

// acknowledge counts every key as sent once. It is called when a peer's summary
// shows that the peer has the same records as this node.
func (q queue) acknowledge() {
	for key := range q {
		q[key]--
		if q[key] <= 0 {
			delete(q, key)
		}
	}
}
