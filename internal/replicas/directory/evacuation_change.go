package directory

// EvacuationChange is the beginning or the end of a zone's evacuation.
type EvacuationChange struct {
	Zone  string
	Ended bool
}
