//go:build hostile

package test

import (
	"fmt"
	"os"
)

// openDescriptors returns the number of open descriptors of the process.
func (p *program) openDescriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(entries)
}
