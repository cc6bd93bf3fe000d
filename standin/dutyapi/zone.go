package dutyapi

// Zone identifies a zone of a service.
type Zone struct{ Service, Zone string }
