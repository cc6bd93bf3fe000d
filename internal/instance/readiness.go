package instance

import "net/http"

// Ready tells whether the node takes callers.
func (i *Instance) Ready() bool { return !i.stopping.Load() && len(i.lacking()) == 0 }

// lacking names what the node does not know yet and cannot serve without.
func (i *Instance) lacking() []string {
	view := i.directory.View()
	var lacking []string
	for _, part := range []struct {
		name  string
		known bool
	}{{"configuration", view.Configuration != nil}, {"replicas", view.ReplicasKnown}, {"evacuations", !view.EvacuationsAwaited}, {"batch jobs", i.jobs.Recovered()}} {
		if !part.known {
			lacking = append(lacking, part.name)
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
