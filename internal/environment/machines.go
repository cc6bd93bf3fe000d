package environment

// MachineState is the state of a machine in the machine list.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one entry of the machine list.
type Machine struct {
	// ID differs after each replacement of a machine.
	ID string `json:"id"`
	// Address is the IP address and port of the engine or node on it.
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// Machines is the platform's machine list, which may lag behind.
type Machines interface {
	// List calls done with the machines and the version of the list.
	List(done func(machines []Machine, version uint64, err error))
}
