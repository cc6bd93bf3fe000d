package sim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestDebug(t *testing.T) {
	if os.Getenv("DBG") == "" {
		return
	}
	n, _ := strconv.Atoi(os.Getenv("DBG"))
	config := DefaultConfig(uint64(n))
	config.Print = func(s string) { fmt.Println(s) }
	w := NewWorld(config)
	w.Start()
	w.startRivals(rivalPeriod)
	w.injectUntil(w.Scheduler.Now().Add(chaosSpan))
	w.Scheduler.Run(chaosSpan)
	fmt.Println(w.settle().Violations)
	for _, n := range w.Nodes {
		fmt.Println(n.host.Name, n.core.Leases(), n.core.Quorum().View(), n.core.Generation(), n.core.Debug())
	}
}
