package engine

// Faults make the engine fail as real ones do. Each counts down.
type Faults struct {
	// Truncate ends the next streams after a few tokens, without their end.
	Truncate int `json:"truncate"`
	// LoseAdmission admits the next requests and closes the connection.
	LoseAdmission int `json:"loseAdmission"`
	// FailSwap answers the next activations with success although the old
	// weights stay.
	FailSwap int `json:"failSwap"`
	// Unversioned leaves the weight version out of the next streams.
	Unversioned int `json:"unversioned"`
}
