package instance

// Kinds are the names under which the platform keeps what a node watches.
type Kinds struct {
	Configuration string
	// ConfigurationName is that of the one configuration object.
	ConfigurationName string
	Replicas          string
	Versions          string
	Retirements       string
	Evacuations       string
}
