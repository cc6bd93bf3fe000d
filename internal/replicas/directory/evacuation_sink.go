package directory

import "github.com/pathtally/pathtally/internal/store/objectstore"

// EvacuationSink takes the evacuations of zones. Each is an object with the name of
// its zone; there is nothing else in it to read.
type EvacuationSink struct {
	Table *Table
}

// Replace implements Sink.
func (s EvacuationSink) Replace(objects []objectstore.Object, _ bool) {
	zones := make([]string, 0, len(objects))
	for _, object := range objects {
		zones = append(zones, object.Name)
	}
	s.Table.SetEvacuations(zones)
}

// Apply implements Sink.
func (s EvacuationSink) Apply(changes []objectstore.Change, _ bool) {
	taken := make([]EvacuationChange, 0, len(changes))
	for _, change := range changes {
		taken = append(taken, EvacuationChange{Zone: change.Object.Name, Ended: change.Deleted})
	}
	s.Table.ApplyEvacuations(taken)
}
