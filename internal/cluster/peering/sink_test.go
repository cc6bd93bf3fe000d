package peering

import (
	"errors"
	"testing"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

func TestDecodeEntryErrorNamesNode(t *testing.T) {
	_, err := decodeEntry(objectstore.Object{Name: "node-7", Spec: []byte(`{"address":7}`)})
	var unreadable *EntryError
	if !errors.As(err, &unreadable) || unreadable.Node != "node-7" || unreadable.Cause == nil {
		t.Errorf("error is %v, want an *EntryError of node-7 with its cause", err)
	}
}

// Entries may be written by others.
func FuzzDecodeEntry(f *testing.F) {
	for _, seed := range []string{"", "null", "[]", `{"address":7}`, `{"address":"127.0.0.1:1","zone":"z","incarnation":1,"capacity":400}`, "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, spec []byte) {
		_, err := decodeEntry(objectstore.Object{Name: "node-7", Spec: spec})
		var unreadable *EntryError
		if err != nil && !errors.As(err, &unreadable) {
			t.Fatalf("error %v is no *EntryError", err)
		}
	})
}
