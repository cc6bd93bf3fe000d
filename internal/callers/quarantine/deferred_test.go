package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// deferredCall returns a call of accepted work.
func deferredCall(body string) *dispatch.Call {
	call := testCall("item", body)
	call.Deferred = true
	return call
}

// Guards against items that are never sent again after several replicas crashed under them.
func TestCrashesOnlyDelayDeferredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := startNodes(t, 4)
		service := nodes.nodes["node-0"]
		for crash := range 2 * maxDeferredCrashes {
			service.ObserveBroken(brokenAttempt(deferredCall("item"), fmt.Sprint("replica-", crash)))
			synctest.Wait()
			var backoff *dispatch.CrashBackoffError
			err := service.Admit(t.Context(), deferredCall("item"))
			want := crashBackoff(min(crash+1, maxDeferredCrashes))
			switch {
			case want == 0 && err != nil:
				t.Errorf("after %d crashes: %v", crash+1, err)
			case want > 0 && (!errors.As(err, &backoff) || backoff.Remaining != want || dispatch.MayHaveRun(err)):
				t.Errorf("after %d crashes: error %v, want a delay of %s", crash+1, err, want)
			}
			time.Sleep(want)
			if err := service.Admit(t.Context(), deferredCall("item")); err != nil {
				t.Errorf("%s after crash %d: %v", want, crash+1, err)
			}
		}
		for name, node := range nodes.nodes {
			if !node.table.IsEmpty() || (node != service && node.suspectCount.Load() > 0) {
				t.Errorf("%s has the item as a suspect or in quarantine", name)
			}
		}
		service.ObserveResponse(deferredCall("item"), 200)
		service.ObserveBroken(brokenAttempt(deferredCall("item"), "replica-last"))
		synctest.Wait()
		if err := service.Admit(t.Context(), deferredCall("item")); err != nil {
			t.Errorf("after a success and one crash: %v", err)
		}
	})
}

// An item must run although its content is quarantined as a live request, by this build or, in the
// stored record, by an earlier one.
func TestQuarantineDoesNotApplyToDeferredCalls(t *testing.T) {
	nodes := startNodes(t, 1)
	service := nodes.nodes["node-0"]
	for crash := range crashesToQuarantine {
		observeBrokenAndWait(t, service, brokenAttempt(testCall("live", "same body"), fmt.Sprint("replica-", crash)))
	}
	if !isQuarantined(service, "same body") {
		t.Fatal("the live request is not quarantined")
	}
	if err := service.Admit(t.Context(), deferredCall("same body")); err != nil {
		t.Errorf("item with the same content: %v", err)
	}
}
