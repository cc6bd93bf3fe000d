package environment

// MachineState is what the machine list says of a machine.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list.
type Machine struct {
	// ID is new for each replacement of a machine.
	ID string `json:"id"`
	// Address is the IP and port of the engine or node on it.
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// Machines is the platform's machine list, which lags behind reality.
type Machines interface {
	List(done func(machines []Machine, version uint64, err error))
}
