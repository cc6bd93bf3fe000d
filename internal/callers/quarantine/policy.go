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
	// endsToQuarantine is the number of crashes that quarantines a request. A harmless
	// request that shares replicas with a crashing one may be hit by two crashes.
	endsToQuarantine = 3
	// earlyBreakLimit is the time since the start of an attempt within which a crash
	// counts even if a resumable run had made progress: a request that crashes its
	// replica does so soon after it starts to run.
	earlyBreakLimit = time.Second
	// minEndInterval is the shortest time between two crashes of one replica, which has
	// to restart in between. Runs that break closer together were broken by one crash.
	minEndInterval = 2 * time.Second
	// keeperCount is the number of nodes that aggregate the crashes of a request. Two of
	// them may fail at the same time.
	keeperCount = 3
)

// countsAsEnd reports whether a broken run counts against its request. It does if the replica
// has crashed, unless the run is resumable, had made progress and lasted for at least
// earlyBreakLimit.
func countsAsEnd(run *dispatch.Attempt, replica exchange.Liveness) bool {
	hadProgress := run.Call.Resumable && run.BodyReceived && run.Duration >= earlyBreakLimit
	return replica == exchange.Dead && !hadProgress
}

// clearsRequest reports whether a response with a status shows that the request does not
// crash replicas. An error response may come from a replica that did not start to run it.
func clearsRequest(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// reaction is what a node does after a broken run or a report of crashes.
type reaction string

const (
	// ignoreEnd does nothing.
	ignoreEnd reaction = "ignore"
	// reportToKeepers sends the known crashes to the keepers of the request.
	reportToKeepers reaction = "report to keepers"
	// startQuarantine quarantines the request, reports its crashes to all nodes and
	// writes it to the store.
	startQuarantine reaction = "start quarantine"
	// joinQuarantine quarantines the request at this node. A keeper also writes it to
	// the store, in case the node that started the quarantine fails before it does.
	joinQuarantine reaction = "join quarantine"
)

// onBrokenRun returns the reaction to a run that broke at this node. known is the number of
// crashes of the request, including this one if it counts.
func onBrokenRun(counts bool, known int) reaction {
	switch {
	case known >= endsToQuarantine:
		return startQuarantine
	case counts:
		return reportToKeepers
	}
	return ignoreEnd
}

// onReportedEnds returns the reaction to crashes that another node reported. known is the
// number of crashes of the request, including the reported ones. A node that reports enough
// of them for a quarantine has sent that report to all nodes.
func onReportedEnds(reported, known int) reaction {
	switch {
	case reported >= endsToQuarantine:
		return joinQuarantine
	case known >= endsToQuarantine:
		return startQuarantine
	}
	return ignoreEnd
}
