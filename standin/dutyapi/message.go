package dutyapi

// message is the body of a call: a usage report or an order of replicas.
type message struct {
	Window  *int64            `json:"windowId"`
	Counts  map[string]uint64 `json:"counts"`
	Service string            `json:"service"`
	Zone    string            `json:"zone"`
	Desired *int              `json:"desired"`
}

// isComplete reports whether a message has all fields that its path requires.
func (m *message) isComplete(path string) bool {
	switch path {
	case "/usage":
		return m.Window != nil && m.Counts != nil
	case "/scale":
		return m.Service != "" && m.Zone != "" && m.Desired != nil
	}
	return false
}
