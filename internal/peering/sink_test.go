package peering

import (
	"errors"
	"testing"

	"github.com/pathtally/pathtally/internal/objectstore"
)

func TestUnreadableEntryNamesItsNode(t *testing.T) {
	_, err := decodeEntry(objectstore.Object{Name: "node-7", Spec: []byte(`{"address":7}`)})
	var unreadable *EntryError
	if !errors.As(err, &unreadable) || unreadable.Node != "node-7" || unreadable.Cause == nil {
		t.Errorf("error is %v, want an *EntryError of node-7 with its cause", err)
	}
}
