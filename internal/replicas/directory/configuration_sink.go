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
	takeAll(objects, s.take)
}

// Apply implements Sink.
func (s ConfigurationSink) Apply(changes []objectstore.Change, _ bool) {
	takePresent(changes, s.take)
}

func (s ConfigurationSink) take(object objectstore.Object) {
	if object.Name != s.Name {
		return
	}
	configuration, err := s.Decoder.Configuration(object.Spec)
	if err != nil {
		s.Table.logger.Error(err, "configuration is not readable", "revision", object.Revision)
		return
	}
	s.Table.SetConfiguration(configuration, object.Revision)
}
