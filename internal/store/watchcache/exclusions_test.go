package watchcache

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestSilentExclusionDoublesUntilReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		excluded := newExclusions()
		nodes := []Node{{Name: "silent"}}
		for _, want := range []time.Duration{8, 16, 32, 64, 64} {
			began := time.Now()
			excluded.excludeSilent("silent")
			for len(excluded.allowed(nodes)) == 0 {
				time.Sleep(time.Second)
			}
			if took := time.Since(began); took != want*time.Second {
				t.Errorf("excluded for %s, want %d s", took, want)
			}
		}
		if !excluded.wasSilent("silent") {
			t.Error("end of an exclusion counted as a reply")
		}
		excluded.recordReply("silent")
		if excluded.wasSilent("silent") {
			t.Error("node that replied counted as silent")
		}
		excluded.excludeSilent("silent")
		time.Sleep(silentExclusion)
		if len(excluded.allowed(nodes)) == 0 {
			t.Error("node that replied excluded for longer than silentExclusion")
		}
	})
}
