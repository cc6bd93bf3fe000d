package settings

import (
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
)

const defaultGrace = v1.Duration(30 * time.Second)

// milliCores is how many thousandths of a core there are in one.
const milliCores = 1000

// Settings are those of one node.
type Settings struct {
	// Node is the node's name, unique in the deployment.
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Regions gives the region of each zone of the deployment.
	Regions map[string]string `json:"regions"`
	// Peer is the address on which other nodes reach this one, and HTTP the
	// one for callers, trainers and operators.
	Peer string `json:"peer"`
	HTTP string `json:"http"`
	// PeerAdvertised is the address announced to other nodes where it differs
	// from Peer, as behind a forwarder.
	PeerAdvertised string `json:"peerAdvertised"`
	// Seeds are peer addresses of nodes to join through.
	Seeds []string `json:"seeds"`
	// Platform is the address of the object API and the machine list; for
	// nodes of the standalone stack only.
	Platform string `json:"platform"`
	// DataFolder makes the node a sample store; empty keeps nothing. For nodes
	// of the standalone stack only.
	DataFolder string `json:"dataFolder"`
	// Grace bounds how long a planned stop waits for requests in progress.
	Grace v1.Duration `json:"grace"`
	// ObjectStore is the address of the metadata store that keeps all lasting
	// state; a node with one needs no Platform. See package instance.
	ObjectStore string `json:"objectStore"`
	// Readiness is the address that reports whether the node takes callers, and
	// Metrics that of its metrics; empty serves none.
	Readiness string `json:"readiness"`
	Metrics   string `json:"metrics"`
	// MemoryMB is the memory that the process may take, in megabytes; 0 for no
	// bound.
	MemoryMB int64 `json:"memoryMB"`
	// CPUShare is the part of a core that the process gets, and Cores the speed
	// of that core as a multiple of a standard one; 0 for unknown.
	CPUShare float64 `json:"cpuShare"`
	Cores    float64 `json:"cores"`
	// Idle nodes only hold their machine: they serve nobody.
	Idle bool `json:"idle"`
	// DutyLease is the term of the duty lease: how long another node must wait
	// after the holder's last call for the whole deployment, such as an order to
	// a replica, before it may make any. Zero means the default.
	DutyLease v1.Duration `json:"dutyLease"`
	// Drain is how long a replica may still get requests after it has announced
	// that it leaves; zero means the default.
	Drain v1.Duration `json:"drain"`
	// CatchUp is how long after its start a node may still lack state before it
	// logs what is missing; zero means the default.
	CatchUp v1.Duration `json:"catchUp"`
	// KeyBound is the age from which a configuration that is not confirmed as the
	// newest no longer authenticates API keys; zero means never.
	KeyBound v1.Duration `json:"keyBound"`
	// EvacuationBound is how long after the evacuation of a zone was requested a
	// request may still arrive there; zero means that zones are not evacuated.
	EvacuationBound v1.Duration `json:"evacuationBound"`
	// Quarantine is how long a request that crashes replicas is sent to no
	// further one; zero means the default.
	Quarantine v1.Duration `json:"quarantine"`
	// WarmUpOverage times its rate while warming up, plus WarmUpSlack requests,
	// is the most that a warming replica may get in any second. An overage of
	// zero means that replicas need no warm-up.
	WarmUpOverage float64 `json:"warmUpOverage"`
	WarmUpSlack   float64 `json:"warmUpSlack"`
	// DutyAPI is the address of the platform's API for the work that one node
	// does for the whole deployment, and Duties the platform's names of the
	// kinds of work that it accepts; empty means that there is none.
	DutyAPI string   `json:"dutyAPI"`
	Duties  []string `json:"duties"`
	// ReplicaPolicy is what the number of ordered replicas follows, as in package
	// autoscale: slots or work; empty orders none.
	ReplicaPolicy string `json:"replicaPolicy"`
	// UsageWindow is the length of the windows that usage is reported for, and
	// UsageLate how long after its end a window's report is due.
	UsageWindow v1.Duration `json:"usageWindow"`
	UsageLate   v1.Duration `json:"usageLate"`
}

// Capacity returns the processor time that the process gets, in thousandths of
// a standard core; 0 for unknown.
func (s *Settings) Capacity() uint32 {
	cores := s.Cores
	if cores == 0 {
		cores = 1
	}
	return uint32(milliCores * s.CPUShare * cores)
}

// AdvertisedPeer returns the address announced to other nodes.
func (s *Settings) AdvertisedPeer() string {
	if s.PeerAdvertised != "" {
		return s.PeerAdvertised
	}
	return s.Peer
}
