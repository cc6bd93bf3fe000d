package v1

import (
	"encoding/json"
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"
)

// Set is a set of objects with distinct keys. Its methods do not change it, so it is safe for
// concurrent reads.
type Set struct {
	objects map[Key]Object
}

// NewSet returns a set of the given objects. If several have the same key, the last one is
// used.
func NewSet(objects ...Object) *Set {
	set := &Set{objects: make(map[Key]Object, len(objects))}
	for _, object := range objects {
		set.objects[object.Head().Key()] = object
	}
	return set
}

// Len returns the number of objects.
func (s *Set) Len() int { return len(s.objects) }

// Get returns the object with a key, or nil.
func (s *Set) Get(key Key) Object { return s.objects[key] }

// Keys returns all keys in ascending order.
func (s *Set) Keys() []Key {
	keys := make([]Key, 0, len(s.objects))
	for key := range s.objects {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int { return strings.Compare(a.String(), b.String()) })
	return keys
}

// All returns the objects of one type, sorted by name.
func All[T Object](s *Set) []T {
	var found []T
	for _, object := range s.objects {
		if typed, ok := object.(T); ok {
			found = append(found, typed)
		}
	}
	slices.SortFunc(found, func(a, b T) int { return strings.Compare(a.Head().Metadata.Name, b.Head().Metadata.Name) })
	return found
}

// Merge returns a new set with the objects of both sets. If both have a key, the object of
// other is used.
func (s *Set) Merge(other *Set) *Set {
	merged := &Set{objects: make(map[Key]Object, len(s.objects)+len(other.objects))}
	for key, object := range s.objects {
		merged.objects[key] = object
	}
	for key, object := range other.objects {
		merged.objects[key] = object
	}
	return merged
}

// Without returns a new set without the objects of the given keys.
func (s *Set) Without(keys ...Key) *Set {
	remaining := s.Merge(NewSet())
	for _, key := range keys {
		delete(remaining.objects, key)
	}
	return remaining
}

// Entries returns the JSON of each object by key.
func (s *Set) Entries() (map[string][]byte, error) {
	entries := make(map[string][]byte, len(s.objects))
	for key, object := range s.objects {
		data, err := json.Marshal(object)
		if err != nil {
			return nil, &ReadError{Path: key.String(), Cause: err}
		}
		entries[key.String()] = data
	}
	return entries, nil
}

// FromEntries decodes a set from the result of Entries.
func FromEntries(entries map[string][]byte) (*Set, error) {
	set := &Set{objects: make(map[Key]Object, len(entries))}
	for name, data := range entries {
		kind, _, _ := strings.Cut(name, "/")
		object := newObject(Kind(kind))
		if object == nil {
			return nil, &FieldError{Path: "kind", Found: kind, Allowed: "a declared kind"}
		}
		if err := json.Unmarshal(data, object); err != nil {
			return nil, &ReadError{Path: name, Cause: err}
		}
		set.objects[object.Head().Key()] = object
	}
	return set, nil
}

// Matches reports whether a label selector matches an object. A selector that cannot be
// parsed matches no object; validation rejects such selectors.
func Matches(selector string, object Object) bool {
	parsed, err := labels.Parse(selector)
	if err != nil {
		return false
	}
	return parsed.Matches(labels.Set(object.Head().Metadata.Labels))
}
