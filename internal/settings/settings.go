// Package settings reads and checks what a node is told at its start: its
// name, place, addresses and data folder, from a YAML file or from flags.
package settings

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"sigs.k8s.io/yaml"

	v1 "github.com/pathtally/pathtally/api/v1"
)

const defaultGrace = v1.Duration(30 * time.Second)

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
	// PeerAdvertised is the address that other nodes are told, where it differs
	// from Peer, as behind a forwarder.
	PeerAdvertised string `json:"peerAdvertised"`
	// Seeds are peer addresses of nodes to join through.
	Seeds []string `json:"seeds"`
	// Platform is the address of the object API and the machine list.
	Platform string `json:"platform"`
	// DataFolder makes the node a sample store; empty keeps nothing.
	DataFolder string `json:"dataFolder"`
	// Grace bounds how long a planned stop waits for requests in progress.
	Grace v1.Duration `json:"grace"`
	// ObjectStore is the address of a metadata store. A node with one keeps
	// all lasting state there and needs no Platform; see package instance.
	ObjectStore string `json:"objectStore"`
	// Readiness is the address that tells whether the node takes callers, and
	// Metrics that of its figures; empty serves none.
	Readiness string `json:"readiness"`
	Metrics   string `json:"metrics"`
	// MemoryMB is the memory that the process may take, in megabytes; 0 for no
	// bound.
	MemoryMB int64 `json:"memoryMB"`
	// CPUShare is the part of a core that the process gets, and Cores how many times
	// as fast as one that core is; 0 for unknown.
	CPUShare float64 `json:"cpuShare"`
	Cores    float64 `json:"cores"`
	// Idle nodes only hold their machine: they serve nobody.
	Idle bool `json:"idle"`
	// DutyLease is how long another node must wait after the last call that this
	// one made for the whole deployment, such as an order to a replica, before it
	// may make any; zero means the default.
	DutyLease v1.Duration `json:"dutyLease"`
	// Drain is for how long a replica may get requests after it has said that
	// it leaves; zero means the default.
	Drain v1.Duration `json:"drain"`
	// CatchUp bounds how long a starting node may take to be up to date.
	CatchUp v1.Duration `json:"catchUp"`
	// KeyBound is how old a configuration may be, not known to be the newest, for
	// its API keys to be trusted; zero trusts the last one known without bound.
	KeyBound v1.Duration `json:"keyBound"`
	// EvacuationBound is how long after the word that a zone is to be evacuated a
	// request may still arrive there; zero means that zones are not evacuated.
	EvacuationBound v1.Duration `json:"evacuationBound"`
	// Quarantine is for how long a request under which replicas have ended is sent to
	// no further one; zero means the default.
	Quarantine v1.Duration `json:"quarantine"`
	// WarmUpOverage is how many times the rate that a replica bears while it warms up
	// it may get in a second, and WarmUpSlack how many requests more.
	WarmUpOverage float64 `json:"warmUpOverage"`
	WarmUpSlack   float64 `json:"warmUpSlack"`
	// DutyAPI is the address of the platform's API for what one node does for the
	// whole deployment, and Duties the platform's names of what it takes; empty
	// means that there is nothing of the kind to do.
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

// Capacity is how many thousandths of a core the process has, 0 for unknown.
func (s *Settings) Capacity() uint32 {
	cores := s.Cores
	if cores == 0 {
		cores = 1
	}
	return uint32(1000 * s.CPUShare * cores)
}

// Error is a setting that cannot be used.
type Error struct {
	Setting string
	Found   string
	Allowed string
}

// Error names the setting, what was found and what is allowed.
func (e *Error) Error() string {
	return fmt.Sprintf("setting %s: found %q, allowed: %s", e.Setting, e.Found, e.Allowed)
}

// Errors are all findings of one check.
type Errors []*Error

// Error gives one finding a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, finding := range e {
		lines[i] = finding.Error()
	}
	return strings.Join(lines, "\n")
}

// Register adds a flag for each setting; a flag goes before the file.
func (s *Settings) Register(flags *flag.FlagSet) {
	flags.StringVar(&s.Node, "node", "", "name of the node")
	flags.StringVar(&s.Zone, "zone", "", "zone that the node is in")
	flags.StringVar(&s.Region, "region", "", "region that the node is in")
	flags.StringVar(&s.Peer, "peer", "", "address for other nodes, IP and port")
	flags.StringVar(&s.PeerAdvertised, "peer-advertised", "", "address that other nodes are told, if it differs from -peer")
	flags.StringVar(&s.HTTP, "http", "", "address for callers, IP and port")
	flags.Func("seeds", "peer addresses to join through, separated by commas", func(text string) error {
		s.Seeds = strings.Split(text, ",")
		return nil
	})
	flags.StringVar(&s.Platform, "platform", "", "address of the object API, IP and port")
	flags.StringVar(&s.ObjectStore, "object-store", "", "address of a metadata store to run on instead of -platform, IP and port")
	flags.StringVar(&s.Readiness, "readiness", "", "address that tells whether the node takes callers, IP and port")
	flags.StringVar(&s.Metrics, "metrics", "", "address of the node's figures, IP and port")
	flags.StringVar(&s.DataFolder, "data-folder", "", "folder for samples; empty keeps none")
	flags.Func("grace", "how long a planned stop waits for requests", func(text string) error {
		span, err := time.ParseDuration(text)
		s.Grace = v1.Duration(span)
		return err
	})
}

// Load reads a file and lays the flags that were given over it.
func Load(path string, given Settings) (Settings, error) {
	loaded := Settings{}
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return loaded, &Error{Setting: "(file)", Found: path, Allowed: "a readable settings file: " + err.Error()}
		}
		if err := Parse(data, &loaded); err != nil {
			return loaded, err
		}
	}
	loaded.overlay(given)
	if loaded.Grace == 0 {
		loaded.Grace = defaultGrace
	}
	if findings := loaded.Check(); len(findings) > 0 {
		return loaded, findings
	}
	return loaded, nil
}

// AdvertisedPeer is the address that other nodes are told.
func (s *Settings) AdvertisedPeer() string {
	if s.PeerAdvertised != "" {
		return s.PeerAdvertised
	}
	return s.Peer
}

// Parse reads settings from YAML; unknown names are refused.
func Parse(data []byte, into *Settings) error {
	if err := yaml.UnmarshalStrict(data, into); err != nil {
		return &Error{Setting: "(file)", Found: err.Error(), Allowed: "YAML with the documented settings only"}
	}
	return nil
}

func (s *Settings) overlay(given Settings) {
	for _, pair := range []struct{ into, from *string }{
		{&s.Node, &given.Node}, {&s.Zone, &given.Zone}, {&s.Region, &given.Region}, {&s.Peer, &given.Peer},
		{&s.HTTP, &given.HTTP}, {&s.PeerAdvertised, &given.PeerAdvertised}, {&s.Platform, &given.Platform}, {&s.DataFolder, &given.DataFolder},
		{&s.ObjectStore, &given.ObjectStore}, {&s.Readiness, &given.Readiness}, {&s.Metrics, &given.Metrics},
	} {
		if *pair.from != "" {
			*pair.into = *pair.from
		}
	}
	if given.Seeds != nil {
		s.Seeds = given.Seeds
	}
	if given.Grace != 0 {
		s.Grace = given.Grace
	}
}
