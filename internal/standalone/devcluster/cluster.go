package devcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/process"
	standengine "github.com/pathtally/pathtally/internal/standalone/standin/engine"
	"github.com/pathtally/pathtally/internal/standalone/standin/platform"
	"github.com/pathtally/pathtally/internal/standalone/standin/scorer"
)

const (
	anyPort       = "127.0.0.1:0"
	readyLimit    = 20 * time.Second
	firstVersion  = 1
	machineLag    = 2 * time.Second
	nodeGrace     = 20 * time.Second
	defaultSigma  = 0.8
	defaultMedian = 40
	defaultMax    = 600
	defaultShare  = 0.5
)

// Config is what a Cluster needs.
type Config struct {
	// Folder holds the declared objects.
	Folder string
	// Nodes is how many nodes to start; they take the zones of the declared
	// engines in turn. Zero starts one for each zone.
	Nodes int
	// DataFolder gets a folder for each node; empty uses a temporary one that
	// Close removes.
	DataFolder string
	Parameters enginemodel.Parameters
	Lengths    enginemodel.Lengths
	// ScoreTime is how long judging a sample takes.
	ScoreTime time.Duration
}

// Cluster is a running deployment.
type Cluster struct {
	Platform *platform.Server
	Scorer   *scorer.Server
	Engines  map[string]*standengine.Server
	Nodes    []*process.Process
	Writer   *configwriter.Blocking
	Objects  *v1.Set
	temp     string
	places   []place
}

// place is a zone with its region.
type place struct{ zone, region string }

// placesOf lists the zones of the declared engines, in order.
func placesOf(set *v1.Set) []place {
	seen := map[place]bool{}
	var places []place
	for _, declared := range v1.All[*v1.Engine](set) {
		found := place{zone: declared.Spec.Zone, region: declared.Spec.Region}
		if !seen[found] {
			seen[found] = true
			places = append(places, found)
		}
	}
	slices.SortFunc(places, func(a, b place) int { return strings.Compare(a.zone, b.zone) })
	return places
}

// NotReadyError is a node that did not become ready in time.
type NotReadyError struct{ Node string }

// Error names the node.
func (e *NotReadyError) Error() string { return fmt.Sprintf("node %s did not become ready", e.Node) }

// DefaultLengths are those of the development runs.
func DefaultLengths() enginemodel.Lengths {
	return enginemodel.Lengths{Median: defaultMedian, Sigma: defaultSigma, Max: defaultMax, PromptShare: defaultShare}
}

// Start brings a deployment up and returns when every node is ready.
func Start(config Config) (*Cluster, error) {
	set, err := v1.LoadFolder(config.Folder)
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{Engines: map[string]*standengine.Server{}, places: placesOf(set)}
	if err := cluster.start(config, set); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

func (c *Cluster) start(config Config, set *v1.Set) error {
	var err error
	if c.Platform, err = platform.Start(anyPort, platform.Config{MachineLag: machineLag}); err != nil {
		return err
	}
	if c.Scorer, err = scorer.Start(anyPort, config.ScoreTime); err != nil {
		return err
	}
	if err := c.startEngines(config, set); err != nil {
		return err
	}
	if c.Writer, err = configwriter.NewBlocking(c.Platform.Address()); err != nil {
		return err
	}
	if _, err := c.Writer.Write(func(*v1.Set) (*v1.Set, error) { return set, nil }); err != nil {
		return err
	}
	c.Objects = set
	return c.startNodes(config)
}

// startEngines runs a stand-in for each declared engine, and puts its address
// and that of the scorer into the objects.
func (c *Cluster) startEngines(config Config, set *v1.Set) error {
	for _, declared := range v1.All[*v1.Engine](set) {
		parameters := config.Parameters
		parameters.Slots = declared.Spec.Slots
		started, err := standengine.Start(anyPort, standengine.Config{
			Parameters: parameters, Lengths: config.Lengths, Version: firstVersion, WeightStore: c.Platform.Address(),
		})
		if err != nil {
			return err
		}
		name := declared.Metadata.Name
		c.Engines[name] = started
		declared.Spec.Address = started.Address()
		c.Platform.SetMachine(environment.Machine{ID: "machine-" + name, Address: started.Address(), State: environment.MachineLive})
	}
	for _, trainer := range v1.All[*v1.Trainer](set) {
		trainer.Spec.Scorer = "http://" + c.Scorer.Address() + "/score"
	}
	return nil
}

func (c *Cluster) startNodes(config Config) error {
	folder := config.DataFolder
	if folder == "" {
		temp, err := os.MkdirTemp("", "pathtally-")
		if err != nil {
			return &v1.ReadError{Path: os.TempDir(), Cause: err}
		}
		c.temp, folder = temp, temp
	}
	count := config.Nodes
	if count == 0 {
		count = len(c.places)
	}
	for i := range count {
		if err := c.StartNode(i, folder); err != nil {
			return err
		}
	}
	for _, node := range c.Nodes {
		if !node.WaitReady(readyLimit) {
			return &NotReadyError{Node: node.Name()}
		}
	}
	return nil
}

// StartNode adds the node of a number, which joins through those there are.
func (c *Cluster) StartNode(number int, folder string) error {
	name := fmt.Sprintf("node-%d", number+1)
	where := c.places[number%len(c.places)]
	var seeds []string
	for _, node := range c.Nodes {
		seeds = append(seeds, node.PeerAddress())
	}
	started, err := process.Start(settings.Settings{
		Node: name, Zone: where.zone, Region: where.region, Peer: anyPort, HTTP: anyPort, Seeds: seeds,
		Platform: c.Platform.Address(), DataFolder: filepath.Join(folder, name), Grace: v1.Duration(nodeGrace),
	})
	if err != nil {
		return err
	}
	c.Nodes = append(c.Nodes, started)
	return nil
}

// Addresses are the HTTP addresses of the nodes.
func (c *Cluster) Addresses() []string {
	addresses := make([]string, len(c.Nodes))
	for i, node := range c.Nodes {
		addresses[i] = node.HTTPAddress()
	}
	return addresses
}

// keptVersions is how many weight versions of a model stay declared.
const keptVersions = 4

// AddVersion is the change that declares one more active weight version of a
// model and drops the oldest.
func AddVersion(model string, version int64) configwriter.Change {
	return func(current *v1.Set) (*v1.Set, error) {
		added := &v1.WeightVersion{Header: v1.Header{APIVersion: v1.APIVersion, Kind: v1.KindWeightVersion}}
		added.Metadata.Name = fmt.Sprintf("%s-v%d", model, version)
		added.Spec = v1.WeightVersionSpec{Model: model, Version: version, Active: true}
		var old []v1.Key
		for _, declared := range v1.All[*v1.WeightVersion](current) {
			if declared.Spec.Model == model && declared.Spec.Version <= version-keptVersions {
				old = append(old, declared.Key())
			}
		}
		return current.Without(old...).Merge(v1.NewSet(added)), nil
	}
}

// Runs is how often a prompt was run anew on all engines together.
func (c *Cluster) Runs(prompt string) int {
	total := 0
	for _, running := range c.Engines {
		total += running.Runs(prompt)
	}
	return total
}

// Close ends everything and removes the temporary data folder.
func (c *Cluster) Close() {
	for _, node := range c.Nodes {
		node.Kill()
	}
	for _, running := range c.Engines {
		running.Close()
	}
	if c.Writer != nil {
		c.Writer.Close()
	}
	if c.Scorer != nil {
		c.Scorer.Close()
	}
	if c.Platform != nil {
		c.Platform.Close()
	}
	if c.temp != "" {
		os.RemoveAll(c.temp)
	}
}
