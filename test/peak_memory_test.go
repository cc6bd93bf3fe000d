package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// peakMemoryMB returns the peak resident memory of the process, in megabytes.
func (p *program) peakMemoryMB() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			if err != nil {
				p.t.Fatal(err)
			}
			return kilobytes / 1024
		}
	}
	p.t.Fatal("no peak memory in the status of the process")
	return 0
}
