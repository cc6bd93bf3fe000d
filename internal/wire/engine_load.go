package wire

// EngineLoad is one engine's state as a node sees it.
type EngineLoad struct {
	Engine  string
	Running uint32
	Waiting uint32
	Version int64
	Staged  int64
	Flags   uint8
}

// LoadReport is a batch of engine loads.
type LoadReport struct{ Loads []EngineLoad }
