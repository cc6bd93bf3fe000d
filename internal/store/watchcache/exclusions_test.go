package watchcache

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestExclusionOfASilentNodeDoublesUntilItReplies(t *testing.T) {
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
				t.Errorf("excluded for %s, want %ds", took, want)
			}
		}
		if !excluded.wasSilent("silent") {
			t.Error("the end of an exclusion counts as a reply")
		}
		excluded.recordReply("silent")
		if excluded.wasSilent("silent") {
			t.Error("a node that replied counts as silent")
		}
		excluded.excludeSilent("silent")
		time.Sleep(silentExclusion)
		if len(excluded.allowed(nodes)) == 0 {
			t.Error("a node that replied is excluded for as long as before")
		}
	})
}
