package process

import (
	"syscall"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/gateway"
	"github.com/pathtally/pathtally/internal/standalone/node"
	"github.com/pathtally/pathtally/internal/wire"
)

// Status is the body of GET /status.
type Status struct {
	Node       string         `json:"node"`
	Zone       string         `json:"zone"`
	Region     string         `json:"region"`
	ProcessID  int            `json:"processId"`
	Generation uint64         `json:"generation"`
	Ready      bool           `json:"ready"`
	Stopping   bool           `json:"stopping"`
	InFlight   int            `json:"inFlight"`
	QuorumView uint64         `json:"quorumView"`
	Leases     []string       `json:"leases"`
	Members    []MemberStatus `json:"members"`
	Engines    []EngineStatus `json:"engines"`
}

// MemberStatus is one node as another one sees it.
type MemberStatus struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	HTTP  string `json:"http"`
	State string `json:"state"`
}

// EngineStatus is one engine as a node sees it.
type EngineStatus struct {
	Name     string `json:"name"`
	Model    string `json:"model"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Version  int64  `json:"version"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Excluded bool   `json:"excluded"`
}

var memberStates = map[uint8]string{
	wire.MemberAlive: "alive", wire.MemberSuspect: "suspect", wire.MemberLeaving: "leaving", wire.MemberDead: "dead",
}

// Status describes the node as it is now.
func (p *Process) Status() Status {
	status := Status{Node: p.settings.Node, Zone: p.settings.Zone, Region: p.settings.Region, ProcessID: processID, InFlight: p.server.InFlight()}
	p.run(func() { fillStatus(&status, p.core) })
	return status
}

func fillStatus(status *Status, core *node.Core) {
	status.Generation, status.Ready, status.Stopping = core.Generation(), core.Ready(), core.Stopping()
	status.Leases = core.Leases()
	if view := core.Quorum().View(); view != nil {
		status.QuorumView = view.Epoch
	}
	for _, member := range core.AllMembers() {
		status.Members = append(status.Members, MemberStatus{ID: member.ID, Zone: member.Zone, HTTP: member.HTTP, State: memberStates[member.State]})
	}
	snapshot := core.Snapshot()
	if snapshot == nil {
		return
	}
	for _, endpoint := range snapshot.Endpoints {
		view := endpoint.State.Report()
		status.Engines = append(status.Engines, EngineStatus{
			Name: endpoint.Name, Model: endpoint.Model, Zone: endpoint.Zone, Address: endpoint.Address,
			Version: view.Version, Running: view.Running, Waiting: view.Waiting, Excluded: endpoint.Excluded(),
		})
	}
}

// registerGauges adds the gauges that are read at each scrape.
func registerGauges(p *Process, metrics *gateway.Metrics) {
	counts := p.transport.Counts()
	metrics.Gauge("pathtally_configuration_generation", "Configuration generation in force.", func() float64 { return float64(p.Generation()) })
	metrics.Gauge("pathtally_requests_in_flight", "HTTP requests under way.", func() float64 { return float64(p.server.InFlight()) })
	metrics.Gauge("pathtally_loop_queue", "Calls waiting for the duty goroutine.", func() float64 { return float64(p.loop.Length()) })
	metrics.Gauge("pathtally_engine_workers", "Open calls to engines.", func() float64 { return float64(p.engines.Running()) })
	metrics.Gauge("pathtally_peer_bytes_sent", "Bytes sent to peers.", func() float64 { return float64(counts.BytesSent.Load()) })
	metrics.Gauge("pathtally_peer_bytes_received", "Bytes received from peers.", func() float64 { return float64(counts.BytesReceived.Load()) })
	metrics.Gauge("pathtally_peer_frames_dropped", "Frames dropped at a full queue.", func() float64 { return float64(counts.FramesDropped.Load()) })
	metrics.Gauge("pathtally_process_cpu_seconds", "Processor time of the process.", cpuSeconds)
	metrics.Gauge("pathtally_members_usable", "Nodes neither leaving nor dead.", func() float64 {
		count := 0
		p.run(func() { count = len(p.core.Members()) })
		return float64(count)
	})
}

func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
