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
	// ID identifies the machine; a replacement has another ID.
	ID string `json:"id"`
	// Address is the IP address and port of the engine or node that runs on the machine.
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// Machines reads the platform's machine list, which may be out of date.
type Machines interface {
	// List calls done with the machines and the version of the list.
	List(done func(machines []Machine, version uint64, err error))
}
