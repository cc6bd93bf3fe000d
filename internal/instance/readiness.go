package instance

import "net/http"

// Ready reports whether the node takes callers.
func (i *Instance) Ready() bool { return !i.stopping.Load() && len(i.parts.lacking()) == 0 }

// lacking names what the node does not know yet and cannot serve without.
func (p *parts) lacking() []string {
	view := p.directory.View()
	var lacking []string
	for _, required := range []struct {
		name  string
		known bool
	}{
		{"configuration", view.Configuration != nil},
		{"replicas", view.ReplicasKnown},
		{"evacuations", !view.EvacuationsUnknown},
		{"batch jobs", p.jobs.Recovered()},
	} {
		if !required.known {
			lacking = append(lacking, required.name)
		}
	}
	return lacking
}

// serveReadiness answers 200 while the node takes callers.
func (i *Instance) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if i.Ready() {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}
