package directory

import "github.com/pathtally/pathtally/internal/store/objectstore"

// VersionSink applies the named weight versions to the table.
type VersionSink struct {
	Table   *Table
	Decoder Decoder
}

// Replace implements Sink.
func (s VersionSink) Replace(objects []objectstore.Object, _ bool) {
	takeAll(objects, s.take)
}

// Apply implements Sink.
func (s VersionSink) Apply(changes []objectstore.Change, _ bool) {
	takePresent(changes, s.take)
}

func (s VersionSink) take(object objectstore.Object) {
	model, version, err := s.Decoder.Version(object.Spec)
	if err != nil {
		s.Table.logger.Error(err, "named version is not readable", "object", object.Name)
		return
	}
	s.Table.SetVersion(model, version)
}
