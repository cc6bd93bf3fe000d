package test

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// startLimit bounds how long a test waits for something that has to happen.
	startLimit   = 20 * time.Second
	pollInterval = 25 * time.Millisecond
)

// binaries is the folder of the built programs.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "pathtally-test-")
	if err != nil {
		panic(err)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/", "../cmd/pathtally", "../cmd/pathtally-standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// program is a running process of a test.
type program struct {
	t       *testing.T
	command *exec.Cmd
	lines   []string
	// output is what follows the lines.
	output *bufio.Reader
	exited chan struct{}
}

// start runs a program and waits for as many lines of standard output as it
// prints once it listens.
func start(t *testing.T, lines int, name string, args ...string) *program {
	t.Helper()
	p := &program{t: t, command: exec.Command(filepath.Join(binaries, name), args...), exited: make(chan struct{})}
	output, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	var failure bytes.Buffer
	p.command.Stderr = &failure
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(output)
	p.output = reader
	for range lines {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatalf("%s %v ended: %s", name, args, failure.String())
		}
		p.lines = append(p.lines, strings.TrimSpace(line))
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.kill)
	return p
}

// address is the last word of the line that a program printed.
func (p *program) address(line int) string {
	words := strings.Fields(p.lines[line])
	return words[len(words)-1]
}

func (p *program) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

func (p *program) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

func runCommand(args ...string) (string, int) {
	command := exec.Command(filepath.Join(binaries, "pathtally"), args...)
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

// eventually waits for something that takes a while; the limit only ends a
// test that would never end.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(pollInterval) {
		if check() {
			return
		}
	}
	t.Fatalf("never happened: %s", what)
}
