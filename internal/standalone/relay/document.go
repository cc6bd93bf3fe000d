package relay

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Document is one version of a named set of entries. It is immutable.
type Document struct {
	Name    string
	Version uint64
	Entries map[string][]byte
	Digest  uint64
}

// NewDocument returns a document with its digest computed.
func NewDocument(name string, version uint64, entries map[string][]byte) *Document {
	return &Document{Name: name, Version: version, Entries: entries, Digest: digest(entries)}
}

func digest(entries map[string][]byte) uint64 {
	hash := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		hash.WriteString(key)
		hash.Write([]byte{0})
		hash.Write(entries[key])
		hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// changedKeys returns the sorted keys whose entries differ, including added and
// removed ones.
func changedKeys(before, after map[string][]byte) []string {
	var keys []string
	for key, data := range after {
		if old, existed := before[key]; !existed || string(old) != string(data) {
			keys = append(keys, key)
		}
	}
	for key := range before {
		if _, exists := after[key]; !exists {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
