package directory

import "github.com/pathtally/pathtally/internal/store/objectstore"

// VersionSink applies the named weight versions to the table.
type VersionSink struct {
	Table   *Table
	Decoder Decoder
}

// Replace implements Sink.
func (s VersionSink) Replace(objects []objectstore.Object, _ bool) {
	forEach(objects, s.applyObject)
}

// Apply implements Sink.
func (s VersionSink) Apply(changes []objectstore.Change, _ bool) {
	forEachPresent(changes, s.applyObject)
}

func (s VersionSink) applyObject(object objectstore.Object) {
	model, version, err := s.Decoder.Version(object.Spec)
	if err != nil {
		s.Table.logger.Error(err, "cannot decode named weight version", "object", object.Name)
		return
	}
	s.Table.SetVersion(model, version)
}
