package directory

import "github.com/pathtally/pathtally/internal/store/objectstore"

// ConfigurationSink applies the stored configuration to the table.
type ConfigurationSink struct {
	Table   *Table
	Decoder Decoder
	// Name is the name of the object that holds the configuration.
	Name string
}

// Replace implements Sink.
func (s ConfigurationSink) Replace(objects []objectstore.Object, _ bool) {
	forEach(objects, s.applyObject)
}

// Apply implements Sink.
func (s ConfigurationSink) Apply(changes []objectstore.Change, _ bool) {
	forEachPresent(changes, s.applyObject)
}

func (s ConfigurationSink) applyObject(object objectstore.Object) {
	if object.Name != s.Name {
		return
	}
	configuration, err := s.Decoder.Configuration(object.Spec)
	if err != nil {
		s.Table.logger.Error(err, "cannot decode configuration", "revision", object.Revision)
		return
	}
	s.Table.SetConfiguration(configuration, object.Revision)
}
