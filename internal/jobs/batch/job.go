package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// job is a batch job that this node runs or has run. The service's mutex guards it.
type job struct {
	id         string
	submission *Submission
	record     jobstore.Record
	// startedAt is when this node started the job.
	startedAt time.Time
	// abandonAfter is when items may be abandoned, zero for never.
	abandonAfter time.Time
	// deadline is the time by which the job should be complete, zero if its route sets
	// none, and completionObjective the time from its acceptance until then.
	deadline            time.Time
	completionObjective time.Duration

	// longText is the number of events that the job's long texts are expected to have, 0 until
	// the lengths can be estimated, and longTextBasis the number of texts that the estimate is
	// based on.
	longText, longTextBasis int

	items map[string]*item
	// order lists the item ids as submitted.
	order []string
	// listed are the results in the store, in order.
	listed []jobstore.Result
	// chunks is the number of chunks in the store, as far as this node knows.
	chunks int
	// finished are the results that are not in the store yet.
	finished []jobstore.Result
	// serial numbers the chunks that this node builds.
	serial int
	// textsSavedAt is when the texts of running items were last saved.
	textsSavedAt time.Time
	// saving is set while texts are being written to the store.
	saving bool
	// appendingSince is when the current append of results began, zero if there is none.
	// The store may have the results before it responds.
	appendingSince time.Time
	groups         map[string]*group
	// flushSoon is set when a group becomes complete, to append with little delay.
	flushSoon bool
	flush     chan struct{}

	ended   bool
	endedAt time.Time
	// endStored is set once this node knows that the job is marked as ended in the store.
	endStored bool
	// superseded is set once another node owns the job. unconfirmed is set while that is
	// possible: the results here may then lack some that readers have seen.
	superseded  bool
	unconfirmed bool
	// yieldLogged, passedOverLogged and slotLeftLogged are set once the log says so.
	yieldLogged      bool
	passedOverLogged bool
	slotLeftLogged   bool
	// longWaitLoggedAt is when long waits of its items were last logged.
	longWaitLoggedAt time.Time
	// unconfirmedAt is when the ownership was last marked as unconfirmed. Only a read of
	// the record that began later can confirm it.
	unconfirmedAt time.Time
	// confirmedAt is when the last successful read of the record began, and lastReadAt
	// when the last attempt to read it began.
	confirmedAt time.Time
	lastReadAt  time.Time
	// changed is closed when waiting readers have to look at the job again.
	changed chan struct{}
	// ctx is the context of the job's runs; it ends with the job.
	ctx    context.Context
	cancel context.CancelFunc
	// appends is the context of writes to the store, which outlives the job's end. It
	// ends when another node owns the job or this node evicts it.
	appends       context.Context
	cancelAppends context.CancelFunc
}

// group counts the items of a group that have no result yet.
type group struct {
	open int
	// inherited is set if the group is left over from an earlier job, which ran some of its
	// items but ended before the group was complete. The trainer waits for every such group.
	inherited bool
}

// item is the state of one item of a job. The service's mutex guards it.
type item struct {
	*Item
	job   *job
	group *group
	// rank is the item's position in its job's processing order.
	rank placement.Rank
	// urgent is set while the item is queued and its job cannot afford further delay.
	urgent bool
	// queuedAt is when the item was last queued, and view the view by which the queue was last
	// sorted.
	queuedAt time.Time
	view     placement.Item
	// waitingSince is when the item was first queued or its last run at a replica ended, and
	// waitReason why it does not run.
	waitingSince time.Time
	waitReason   waitReason
	// passedOver is set once the item has been counted as passed over for too long, and
	// yielded once a run of it gave up its slot.
	passedOver bool
	yielded    bool
	// moveReason is why the item's last run was canceled, empty if it ended for another reason
	// or the item has not run.
	moveReason placement.Reason
	// notBegun is the number of runs in a row that were moved before their first event, and
	// swapped is set once a run gave up its slot to a longer one.
	notBegun int
	swapped  bool

	progress progress
	// savedEvents is the number of events of the current text in the store, and
	// textNumber the number of texts discarded before it.
	savedEvents int
	textNumber  int
	currentRun  *itemRun
	// runs counts the runs started on this node.
	runs int
	done bool
	// textComplete is set once a run has completed the text; the scorer may still be called.
	textComplete bool
	// expectedEvents is the number of events estimated from earlier runs, 0 if unknown.
	expectedEvents int
	// recordedEvents is the largest number of events that a text had when a run ended or
	// the text was restored.
	recordedEvents int
	// failures counts responses that say that the item failed, and attributedFailures
	// those of replicas that were not failing at the time. failedReplicas are the
	// replicas that sent them.
	failures           int
	attributedFailures int
	failedReplicas     []string
	// brokenRuns counts runs that ended early for a reason other than the item.
	brokenRuns int
	// stalls counts runs that were canceled because no events came.
	stalls int
	// queueWait is the time from the job's start on this node to the item's first run, and
	// lastRun the run that ended last.
	queueWait time.Duration
	lastRun   *itemRun
	// retryAt is when the item may run again.
	retryAt time.Time
}

// open reports whether the job still has items to run.
func (j *job) open() bool { return !j.ended && !j.superseded && len(j.listed) < len(j.items) }

// mayBeTakenOver reports whether another node may take the job over, which is possible
// while it is open or its end is not stored.
func (j *job) mayBeTakenOver() bool { return j.open() || (j.ended && !j.endStored && !j.superseded) }

// allListed reports whether every item has a result in the store.
func (j *job) allListed() bool { return len(j.listed) >= len(j.items) }

// markUnconfirmed marks the ownership as unconfirmed until a read of the record that
// begins from now on confirms it.
func (j *job) markUnconfirmed() { j.unconfirmed, j.unconfirmedAt = true, time.Now() }

// notify wakes the waiting readers.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// appendResponseTimeout is the time after which reads check the store for results whose
// append has no response yet. Results that one reader has got must be readable for all
// readers one second later.
const appendResponseTimeout = 100 * time.Millisecond

// canServeReads reports whether reads may be served from memory. They may not while
// another node may own the job, nor while an append that was in progress when the job
// ended has no outcome. The mutex must be held.
func (j *job) canServeReads() bool {
	return j != nil && !j.unconfirmed && !(j.ended && !j.appendingSince.IsZero())
}

// isAppendOverdue reports whether the response to an append is overdue, so that the store
// may have results that are not listed here. The mutex must be held.
func (j *job) isAppendOverdue() bool {
	return !j.appendingSince.IsZero() && time.Since(j.appendingSince) > appendResponseTimeout
}

// requestFlush makes the publisher append the finished results.
func (j *job) requestFlush() {
	select {
	case j.flush <- struct{}{}:
	default:
	}
}
