// Package rig starts deployments of separate processes on loopback for the scripts of this review.
//
// The nodes are the built program, started with the command of the deploy file. The metadata store is
// the project's stand-in, served by the driver of the case.
package rig

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case is to inject its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record.txt of a case. It is safe for concurrent use.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: file, started: time.Now()}, err
}

// Add adds a line with the time since the start of the case.
func (r *Record) Add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, values...)...)
}

// Deployment is a metadata store and nodes that use it.
type Deployment struct {
	Store  *metastore.Store
	Record *Record
	Nodes  []*Node

	program, folder, storeAddress string
	seeds                         []string
}

// Node is a node process.
type Node struct {
	Name, HTTP, Readiness, Peer string

	deployment *Deployment
	settings   string
	log        *os.File
	process    *exec.Cmd
	ended      chan struct{}
}

// The ports of nodes are below the range from which the system takes those of outgoing connections, so
// that none of these has one before its node listens.
const firstPort, ports = 12000, 20000

// freeAddress returns a loopback address with a port that was free just now.
func freeAddress() (string, error) {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		listener.Close()
		return address, nil
	}
}

// New serves a metadata store and prepares the settings of a number of nodes, without starting them.
// wrap wraps the handler of the store; nil for none.
func New(program string, record *Record, nodes int, wrap func(http.Handler) http.Handler) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: metastore.New(), Record: record, program: program, folder: folder}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = listener.Addr().String()
	var handler http.Handler = &metastore.Server{Store: d.Store}
	if wrap != nil {
		handler = wrap(handler)
	}
	go http.Serve(listener, handler)
	for range nodes {
		node, err := d.Add()
		if err != nil {
			return nil, err
		}
		if len(d.seeds) < 3 {
			d.seeds = append(d.seeds, node.Peer)
		}
	}
	return d, nil
}

// Add adds a node of a new name and new addresses, without starting it.
func (d *Deployment) Add() (*Node, error) {
	node := &Node{Name: fmt.Sprintf("edge-a-%d", len(d.Nodes)+1), deployment: d}
	for _, address := range []*string{&node.HTTP, &node.Readiness, &node.Peer} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	d.Nodes = append(d.Nodes, node)
	return node, nil
}

// Folder returns the temporary folder of the deployment.
func (d *Deployment) Folder() string { return d.folder }

// Close kills all nodes and removes the temporary folder.
func (d *Deployment) Close() {
	for _, node := range d.Nodes {
		if node.process != nil {
			node.Signal(syscall.SIGCONT)
			node.Signal(syscall.SIGKILL)
			<-node.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder)
	}
}

// writeSettings writes the settings file as the template of the deploy file is filled in for a small
// deployment.
func (n *Node) writeSettings() error {
	metrics, err := freeAddress()
	if err != nil {
		return err
	}
	n.settings = filepath.Join(n.deployment.folder, n.Name+".yaml")
	text := fmt.Sprintf("node: %q\nzone: \"zone-a\"\nregion: \"region-a\"\nhttp: %q\nreadiness: %q\npeer: %q\nmetrics: %q\n", n.Name, n.HTTP, n.Readiness, n.Peer, metrics)
	text += "seeds: ["
	for i, seed := range n.deployment.seeds {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q", seed)
	}
	text += fmt.Sprintf("]\nobjectStore: %q\ngrace: \"8s\"\ndutyLease: \"3000ms\"\ndrain: \"2000ms\"\ncatchUp: \"4.3s\"\nregions: {\"zone-a\": \"region-a\"}\ncpuShare: 0.4\ncores: 1\nmemoryMB: 284\n", n.deployment.storeAddress)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// Start starts the process of the node.
func (n *Node) Start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.deployment.folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.process = exec.Command(n.deployment.program, "node", "-settings", n.settings)
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		err := process.Wait()
		n.deployment.Record.Add("node %s ended: %v", n.Name, err)
		close(ended)
	}(n.process, n.ended)
	n.deployment.Record.Add("node %s started", n.Name)
	return nil
}

// Signal sends a signal to the process of the node.
func (n *Node) Signal(signal syscall.Signal) { n.process.Process.Signal(signal) }

// Ended is closed when the process has ended.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// IsReady asks the readiness address of the node.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.Readiness + "/-/readyz")
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// StartAll starts all nodes and waits until they are ready. It returns false if they are not in time.
func (d *Deployment) StartAll() bool {
	for _, node := range d.Nodes {
		if err := node.Start(); err != nil {
			d.Record.Add("node %s not started: %v", node.Name, err)
			return false
		}
	}
	for _, node := range d.Nodes {
		if !node.AwaitReady(15 * time.Second) {
			return false
		}
	}
	return true
}

// AwaitReady waits until the node is ready.
func (n *Node) AwaitReady(timeout time.Duration) bool {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(50 * time.Millisecond) {
		if n.IsReady() {
			n.deployment.Record.Add("node %s ready", n.Name)
			return true
		}
	}
	n.deployment.Record.Add("node %s not ready in time", n.Name)
	return false
}

// MemoryMB returns the resident memory of the process in megabytes, 0 if it has ended.
func (n *Node) MemoryMB() int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(content), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize()) >> 20
}
