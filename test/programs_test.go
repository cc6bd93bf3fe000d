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
	// waitTimeout is the timeout for conditions that a test waits for.
	waitTimeout  = 20 * time.Second
	pollInterval = 25 * time.Millisecond
)

// binaries is the folder that contains the built programs.
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

// program is a process started by a test.
type program struct {
	t       *testing.T
	command *exec.Cmd
	lines   []string
	// output is the standard output after lines.
	output *bufio.Reader
	exited chan struct{}
	// maxDescriptors is the limit on open descriptors, 0 for that of the test.
	maxDescriptors int
}

// start starts a program and reads the given number of lines from its standard output,
// which it prints once it listens.
func start(t *testing.T, lines int, name string, args ...string) *program {
	t.Helper()
	return startLimited(t, 0, lines, name, args...)
}

// startLimited is start with a limit on the open descriptors of the program; 0 for none.
func startLimited(t *testing.T, maxDescriptors, lines int, name string, args ...string) *program {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, name), args...)
	if maxDescriptors > 0 {
		limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors)
		command = exec.Command("/bin/sh", append([]string{"-c", limited, command.Path}, args...)...)
	}
	p := &program{t: t, command: command, exited: make(chan struct{}), maxDescriptors: maxDescriptors}
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
			t.Fatalf("%s %v exited before it was listening: %s", name, args, failure.String())
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

// address returns the last word of an output line, the address that the program listens on.
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

// eventually polls check until it returns true, and fails the test after waitTimeout.
// what completes the sentence "timed out waiting for ...".
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if check() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}
