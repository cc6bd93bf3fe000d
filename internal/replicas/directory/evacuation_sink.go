package directory

import "github.com/pathtally/pathtally/internal/store/objectstore"

// EvacuationSink applies the stored evacuations to the table. Each evacuation is an object
// whose name is the zone; its content is ignored.
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
	applied := make([]EvacuationChange, 0, len(changes))
	for _, change := range changes {
		applied = append(applied, EvacuationChange{Zone: change.Object.Name, Ended: change.Deleted})
	}
	s.Table.ApplyEvacuations(applied)
}
