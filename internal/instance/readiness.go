package instance

import "net/http"

// Ready reports whether the node is ready to take callers' requests.
func (i *Instance) Ready() bool { return !i.stopping.Load() && len(i.components.missingState()) == 0 }

// missingState names the state that the node needs to serve and has not received.
func (c *components) missingState() []string {
	view := c.directory.View()
	var missing []string
	for _, required := range []struct {
		name  string
		known bool
	}{
		{"configuration", view.Configuration != nil},
		{"replicas", view.ReplicasKnown},
		{"evacuations", !view.EvacuationsUnknown},
		{"quarantine", c.quarantine.RecordKnown()},
		{"batch jobs", c.jobs.Recovered()},
	} {
		if !required.known {
			missing = append(missing, required.name)
		}
	}
	return missing
}

// serveReadiness responds with 200 if the node is ready, else with 503.
func (i *Instance) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if i.Ready() {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}
