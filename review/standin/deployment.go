package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
)

const (
	// Zone is the zone of all nodes and replicas.
	Zone = "zone-a"
	// readyTimeout bounds the wait for a node to be ready, and pollInterval is the time
	// between its checks.
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Deployment is a set of node processes and the metadata store that they use.
type Deployment struct {
	Store  *metastore.Store
	Nodes  []*Node
	record *Record
	// program is the path of the node program, and folder holds settings and logs.
	program string
	folder  string
	server  *http.Server
}

// Node is a node process.
type Node struct {
	Name string
	// HTTP and Readiness are the addresses for callers and for readiness checks.
	HTTP, Readiness string
	peer, metrics   string
	command         *exec.Cmd
	log             *os.File
}

// Start starts the store and the given number of nodes, and waits until all are ready. The
// configuration and the replicas have to be in the store by then, so fill writes them.
// The processes end with the context at the latest.
func Start(ctx context.Context, program string, nodes int, record *Record, fill func(*metastore.Store)) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "pathtally-review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: metastore.New(), record: record, program: program, folder: folder}
	fill(d.Store)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return d, err
	}
	d.server = &http.Server{Handler: &metastore.Server{Store: d.Store}}
	go d.server.Serve(listener)
	for number := range nodes {
		node := &Node{Name: fmt.Sprintf("edge-%d", number+1)}
		for _, address := range []*string{&node.HTTP, &node.Readiness, &node.peer, &node.metrics} {
			if *address, err = freeAddress(); err != nil {
				return d, err
			}
		}
		d.Nodes = append(d.Nodes, node)
	}
	for _, node := range d.Nodes {
		if err := d.startNode(ctx, node, listener.Addr().String()); err != nil {
			return d, err
		}
	}
	for _, node := range d.Nodes {
		if err := awaitReady(node); err != nil {
			return d, err
		}
		record.Add("node %s is ready", node.Name)
	}
	return d, nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startNode starts a node with the command of the deploy file. The settings are those that the
// template gives on a small deployment.
func (d *Deployment) startNode(ctx context.Context, node *Node, store string) error {
	var seeds []string
	for _, other := range d.Nodes {
		seeds = append(seeds, other.peer)
	}
	settings := map[string]any{
		"node": node.Name, "zone": Zone, "region": "region-a", "http": node.HTTP, "readiness": node.Readiness, "peer": node.peer, "metrics": node.metrics,
		"seeds": seeds, "objectStore": store, "grace": "8s", "dutyLease": "3000ms", "drain": "2000ms", "catchUp": "4.3s",
		"regions": map[string]string{Zone: "region-a"}, "cpuShare": 0.4, "cores": 1, "memoryMB": 284,
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.folder, node.Name+".yaml")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	if node.log, err = os.Create(filepath.Join(d.folder, node.Name+".log")); err != nil {
		return err
	}
	node.command = exec.CommandContext(ctx, d.program, "node", "-settings", path)
	node.command.Stdout, node.command.Stderr = node.log, node.log
	return node.command.Start()
}

func awaitReady(node *Node) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		response, err := http.Get("http://" + node.Readiness + "/-/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", node.Name)
}

// Kill kills a node with SIGKILL.
func (d *Deployment) Kill(node *Node) error {
	d.record.Add("SIGKILL to node %s", node.Name)
	if err := node.command.Process.Kill(); err != nil {
		return err
	}
	node.command.Wait()
	node.command = nil
	return nil
}

// LogLines adds the log lines of all nodes that contain one of the words to the record.
func (d *Deployment) LogLines(words ...string) {
	for _, node := range d.Nodes {
		text, err := os.ReadFile(filepath.Join(d.folder, node.Name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(text), "\n") {
			for _, word := range words {
				if strings.Contains(line, word) {
					d.record.Add("log of %s: %s", node.Name, line)
					break
				}
			}
		}
	}
}

// Close ends all processes and removes the folder.
func (d *Deployment) Close() {
	for _, node := range d.Nodes {
		if node.command != nil && node.command.Process != nil {
			node.command.Process.Kill()
			node.command.Wait()
		}
		if node.log != nil {
			node.log.Close()
		}
	}
	if d.server != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		d.server.Shutdown(ctx)
	}
	os.RemoveAll(d.folder)
}
