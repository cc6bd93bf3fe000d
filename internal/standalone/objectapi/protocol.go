package objectapi

import "github.com/pathtally/pathtally/internal/environment"

// Paths and parameters of the platform's HTTP interface.
const (
	PathObjects    = "/objects/"
	PathWatch      = "/watch"
	PathMachines   = "/machines"
	ParamIfVersion = "ifVersion"
	ParamFrom      = "from"
	ParamWaitMs    = "waitMs"
	// ParamNames are the watched names, separated by commas.
	ParamNames = "names"
)

// ObjectBody is one object in an answer.
type ObjectBody struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Data    []byte `json:"data"`
}

// WatchBody answers a watch.
type WatchBody struct {
	Objects []ObjectBody `json:"objects"`
	Next    uint64       `json:"next"`
}

// MachinesBody answers a read of the machine list.
type MachinesBody struct {
	Version  uint64                `json:"version"`
	Machines []environment.Machine `json:"machines"`
}
