package batch

import (
	"testing"
	"testing/synctest"
	"time"
)

// A replica that was down or full used to be tried again every 80 ms, with as
// many items as it had slots, for as long as that lasted.
func TestReplicaThatGivesNothingIsLeftAloneEverLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &replicaState{}
		tries := 0
		for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			if time.Now().Before(state.blockedUntil) {
				continue
			}
			tries++
			for range 6 {
				state.block(fullBlock)
			}
		}
		if tries < 10 || tries > 16 {
			t.Errorf("%d tries in ten seconds", tries)
		}
		state.blocks = 0
		time.Sleep(longestBlock)
		state.block(fullBlock)
		if left := time.Until(state.blockedUntil); left != fullBlock {
			t.Errorf("after it gave something, it is left alone for %s", left)
		}
	})
}
