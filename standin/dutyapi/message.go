package dutyapi

// message is the body of a call: a report of usage, or an order of replicas.
type message struct {
	Window  *int64            `json:"windowId"`
	Counts  map[string]uint64 `json:"counts"`
	Service string            `json:"service"`
	Zone    string            `json:"zone"`
	Desired *int              `json:"desired"`
}

// isWhole tells whether a message has what its path wants.
func (m *message) isWhole(path string) bool {
	switch path {
	case "/usage":
		return m.Window != nil && m.Counts != nil
	case "/scale":
		return m.Service != "" && m.Zone != "" && m.Desired != nil
	}
	return false
}
