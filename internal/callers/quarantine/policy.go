package quarantine

import (
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
)

const (
	// DefaultSpan is how long a request stays in quarantine if the settings name no time:
	// callers that try again give up within minutes.
	DefaultSpan = 10 * time.Minute
	// endsToQuarantine is the number of ends of replicas under one request that put it in
	// quarantine. A good request may share replicas with a bad one and meet two.
	endsToQuarantine = 3
	// earlyBreakLimit is the time from the sending within which a break counts although
	// the run had made a part of an answer: a request that crashes its replica does so
	// soon.
	earlyBreakLimit = time.Second
	// minEndInterval is the least time between two ends of one replica, which has to
	// start in between. Breaks closer together have one end as their cause.
	minEndInterval = 2 * time.Second
	// keeperCount is the number of nodes that count the ends under a request besides
	// those that saw one: two may be lost at the same time.
	keeperCount = 3
)

// countsAsEnd returns whether a broken run counts against its request: its replica has
// ended, and the run made no progress that the next one goes on from, or broke early.
func countsAsEnd(run *dispatch.Run, replica exchange.Liveness) bool {
	hadProgress := run.Call.Resumable && run.Received && run.Lasted >= earlyBreakLimit
	return replica == exchange.Ended && !hadProgress
}

// clearsRequest returns whether an answer of a status shows that the request crashes no
// replica. A failure may come from a replica that did not begin to run it.
func clearsRequest(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// reaction is what a node does once it knows of a further end.
type reaction string

const (
	// ignoreEnd does nothing.
	ignoreEnd reaction = "ignore"
	// reportToKeepers sends the known ends to the keepers of the request.
	reportToKeepers reaction = "report to keepers"
	// startQuarantine holds the request, reports it to all nodes and writes it to the
	// store.
	startQuarantine reaction = "start quarantine"
	// joinQuarantine holds the request. A keeper also writes it to the store, in case
	// the node that started the quarantine ends before it has.
	joinQuarantine reaction = "join quarantine"
)

// onBrokenRun returns the reaction to a run that broke at this node. Known is the number
// of ends under the request, with that one if it counts.
func onBrokenRun(counts bool, known int) reaction {
	switch {
	case known >= endsToQuarantine:
		return startQuarantine
	case counts:
		return reportToKeepers
	}
	return ignoreEnd
}

// onReportedEnds returns the reaction to another node's report of ends. Known is the number
// of ends with those reported. A node that reports enough has reported them to all nodes.
func onReportedEnds(reported, known int) reaction {
	switch {
	case reported >= endsToQuarantine:
		return joinQuarantine
	case known >= endsToQuarantine:
		return startQuarantine
	}
	return ignoreEnd
}
