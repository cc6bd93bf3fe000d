package wire

// EngineLoad is the state of one engine as observed by a node.
type EngineLoad struct {
	Engine  string
	Running uint32
	Waiting uint32
	// Version is the active weight version, Staged the staged one or 0.
	Version int64
	Staged  int64
	Flags   uint8
}

// LoadReport carries the state of several engines.
type LoadReport struct{ Loads []EngineLoad }
