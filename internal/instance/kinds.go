package instance

// Kinds are the kinds of the platform's objects that a node watches.
type Kinds struct {
	Configuration string
	// ConfigurationName is the name of the only configuration object.
	ConfigurationName string
	Replicas          string
	Versions          string
	Retirements       string
	Evacuations       string
}
