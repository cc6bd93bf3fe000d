package settings

import (
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
)

const defaultGrace = v1.Duration(30 * time.Second)

// milliCoresPerCore converts cores to thousandths of a core.
const milliCoresPerCore = 1000

// Settings holds the settings of one node.
type Settings struct {
	// Node is the name of the node, unique in the deployment.
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Regions maps each zone of the deployment to its region.
	Regions map[string]string `json:"regions"`
	// Peer is the listen address for other nodes, and HTTP that for callers, trainers and
	// operators.
	Peer string `json:"peer"`
	HTTP string `json:"http"`
	// PeerAdvertised is the address announced to other nodes if it differs from Peer, for
	// example behind a proxy.
	PeerAdvertised string `json:"peerAdvertised"`
	// Seeds are the peer addresses of nodes through which this node joins the cluster.
	Seeds []string `json:"seeds"`
	// Platform is the address of the object API and the machine list. Standalone stack only.
	Platform string `json:"platform"`
	// DataFolder is the folder in which the node stores samples; if empty, it stores none.
	// Standalone stack only.
	DataFolder string `json:"dataFolder"`
	// Grace limits how long a planned stop waits for requests in progress.
	Grace v1.Duration `json:"grace"`
	// ObjectStore is the address of the metadata store that holds all persistent state. It
	// excludes Platform. See package instance.
	ObjectStore string `json:"objectStore"`
	// Readiness is the address of the readiness endpoint, and Metrics that of the metrics
	// endpoint; if empty, the endpoint is not served.
	Readiness string `json:"readiness"`
	Metrics   string `json:"metrics"`
	// MemoryMB is the memory limit of the process, in megabytes; 0 means no limit.
	MemoryMB int64 `json:"memoryMB"`
	// CPUShare is the share of a core that the process gets, and Cores the speed of that core
	// relative to a standard core. A CPUShare of 0 means unknown, Cores of 0 means 1.
	CPUShare float64 `json:"cpuShare"`
	Cores    float64 `json:"cores"`
	// Idle makes the node occupy its machine without serving anything.
	Idle bool `json:"idle"`
	// DutyLease is the term of the duty lease: the time after the holder's last action for
	// the whole deployment, such as an order to a replica, before another node may act.
	// Zero means the default.
	DutyLease v1.Duration `json:"dutyLease"`
	// Drain is how long a replica may still get requests after it has announced its
	// shutdown; zero means the default.
	Drain v1.Duration `json:"drain"`
	// CatchUp is how long after its start the node may lack state before it logs what is
	// missing; zero means the default.
	CatchUp v1.Duration `json:"catchUp"`
	// KeyBound is the maximum time since the configuration was last confirmed to be the
	// newest. Beyond it, the node accepts no API keys; zero means no limit.
	KeyBound v1.Duration `json:"keyBound"`
	// EvacuationBound is how long requests may still arrive in a zone after its evacuation
	// was requested; zero means that zones are not evacuated.
	EvacuationBound v1.Duration `json:"evacuationBound"`
	// Quarantine is how long a request that crashes replicas is not sent to another replica;
	// zero means the default.
	Quarantine v1.Duration `json:"quarantine"`
	// JobRetention is how long an ended batch job stays in the store; zero means the default.
	JobRetention v1.Duration `json:"jobRetention"`
	// WarmUpOverage and WarmUpSlack limit the requests that a warming replica gets in any
	// second to WarmUpOverage times its warm-up rate plus WarmUpSlack. An overage of zero
	// means that replicas need no warm-up.
	WarmUpOverage float64 `json:"warmUpOverage"`
	WarmUpSlack   float64 `json:"warmUpSlack"`
	// DutyAPI is the address of the platform's API for duties, the work that one node does
	// for the whole deployment, and Duties the platform's names of the duties that the API
	// accepts; empty means that there is none.
	DutyAPI string   `json:"dutyAPI"`
	Duties  []string `json:"duties"`
	// ReplicaPolicy is the autoscaling policy, an autoscale.Policy: slots or work; empty
	// disables autoscaling.
	ReplicaPolicy string `json:"replicaPolicy"`
	// UsageWindow is the length of the windows for which usage is reported, and UsageLate the
	// time after the end of a window by which its report is due.
	UsageWindow v1.Duration `json:"usageWindow"`
	UsageLate   v1.Duration `json:"usageLate"`
}

// Capacity returns the CPU capacity of the process, in thousandths of a standard core; 0 means
// unknown.
func (s *Settings) Capacity() uint32 {
	cores := s.Cores
	if cores == 0 {
		cores = 1
	}
	return uint32(milliCoresPerCore * s.CPUShare * cores)
}

// AdvertisedPeer returns the peer address that is announced to other nodes.
func (s *Settings) AdvertisedPeer() string {
	if s.PeerAdvertised != "" {
		return s.PeerAdvertised
	}
	return s.Peer
}
