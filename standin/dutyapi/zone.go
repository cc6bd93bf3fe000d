package dutyapi

// Zone is a zone of a service.
type Zone struct{ Service, Zone string }
