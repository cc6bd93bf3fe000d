package quarantine

import (
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
)

const (
	// DefaultDuration is how long a request stays in quarantine unless the settings say
	// otherwise. Callers that retry usually give up sooner.
	DefaultDuration = 10 * time.Minute
	// crashesToQuarantine is the number of crashes that quarantines a request. A harmless
	// request that shares replicas with a crashing one may be hit by two crashes.
	crashesToQuarantine = 3
	// earlyCrashLimit is the time since the start of an attempt within which a crash
	// counts even if a resumable run had made progress: a request that crashes its
	// replica does so soon after it starts to run.
	earlyCrashLimit = time.Second
	// firstCrashBackoff is the delay of a deferred call under which crashesToQuarantine replicas
	// crashed. It doubles with each further crash up to maxCrashBackoff: a replica needs some
	// seconds to restart, and a trainer waits for the last item of a step.
	firstCrashBackoff = 250 * time.Millisecond
	maxCrashBackoff   = 2 * time.Second
	// maxDeferredCrashes is the number of crashes of a deferred call that are counted, enough to
	// reach maxCrashBackoff.
	maxDeferredCrashes = crashesToQuarantine + 3
	// minCrashInterval is the shortest time between two crashes of one replica, which has
	// to restart in between. Runs that break closer together were broken by one crash.
	minCrashInterval = 2 * time.Second
	// aggregatorCount is the number of nodes that aggregate the crashes of a request. Two of
	// them may fail at the same time.
	aggregatorCount = 3
	// maxReportWait is the maximum time that a request waits to learn of crashes that only other
	// nodes know of. A request that did not crash its replica should still meet its latency
	// objective, usually a few hundred milliseconds.
	maxReportWait = 150 * time.Millisecond
	// recordUnknownRetryAfter is the Retry-After of requests that are refused because the stored
	// record has not been read yet. Reading it usually takes a few round trips to the store.
	recordUnknownRetryAfter = 250 * time.Millisecond
	// reportTimeout is the timeout of a report to an aggregator.
	reportTimeout = time.Second
)

// countsAsCrash reports whether a broken run counts against its request. It does if the replica
// has crashed, unless the run is resumable, had made progress and lasted for at least
// earlyCrashLimit.
func countsAsCrash(attempt *dispatch.Attempt, liveness exchange.Liveness) bool {
	hadProgress := attempt.Call.Resumable && attempt.BodyReceived && attempt.Duration >= earlyCrashLimit
	return liveness == exchange.Dead && !hadProgress
}

// crashBackoff returns the time from the last of a number of crashes under a deferred call to its
// next attempt. Like a quarantine, it begins with crashesToQuarantine crashes.
func crashBackoff(crashCount int) time.Duration {
	if crashCount < crashesToQuarantine {
		return 0
	}
	return min(firstCrashBackoff<<min(crashCount-crashesToQuarantine, maxDeferredCrashes), maxCrashBackoff)
}

// clearsRequest reports whether a response with a status shows that the request does not
// crash replicas. An error response may come from a replica that did not start to run it.
func clearsRequest(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// reaction is what a node does after a broken run or a report of crashes.
type reaction string

const (
	// ignore does nothing.
	ignore reaction = "ignore"
	// reportToAggregators sends the known crashes to the aggregators of the request.
	reportToAggregators reaction = "report to aggregators"
	// startQuarantine quarantines the request, reports its crashes to all nodes and
	// writes it to the store.
	startQuarantine reaction = "start quarantine"
	// joinQuarantine quarantines the request at this node. An aggregator also writes it to
	// the store, in case the node that started the quarantine fails before it does.
	joinQuarantine reaction = "join quarantine"
)

// onBrokenRun returns the reaction to a run that broke at this node. crashCount is the number
// of crashes of the request, including this one if it counts.
func onBrokenRun(counts bool, crashCount int) reaction {
	switch {
	case crashCount >= crashesToQuarantine:
		return startQuarantine
	case counts:
		return reportToAggregators
	}
	return ignore
}

// mustAwaitChecks reports whether a request must wait for its pending checks. It must if the
// crashes known to this node and the runs being probed are enough for a quarantine. Otherwise
// other nodes may know of further crashes, and it waits until timedOut is set.
func mustAwaitChecks(crashCount int, pending pendingChecks, timedOut bool) bool {
	if pending.probes > 0 && crashCount+pending.probes >= crashesToQuarantine {
		return true
	}
	return !timedOut && pending != pendingChecks{}
}

// onReportedCrashes returns the reaction to crashes that another node reported. crashCount is
// the number of crashes of the request, including the reported ones. A node that reports enough
// of them for a quarantine has sent that report to all nodes, so this node need not.
func onReportedCrashes(reportedCount, crashCount int) reaction {
	switch {
	case reportedCount >= crashesToQuarantine:
		return joinQuarantine
	case crashCount >= crashesToQuarantine:
		return startQuarantine
	}
	return ignore
}
