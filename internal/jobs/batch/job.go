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
	// takenUp is when this node started the job.
	takenUp time.Time
	// givenUpAt is when items may be abandoned, zero for never.
	givenUpAt time.Time
	// due is the time by which the job should be complete, zero if its route sets none,
	// and objective the time from its acceptance until then.
	due       time.Time
	objective time.Duration

	items map[string]*item
	// order lists the item ids as submitted.
	order []string
	// listed are the results in the store, in order.
	listed []jobstore.Result
	chunks int
	// finished are the results that are not in the store yet.
	finished []jobstore.Result
	serial   int
	// textsSaved is when the texts of running items were last saved.
	textsSaved time.Time
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
	// endStored reports that the store has the end.
	endStored bool
	// displaced is set once another node owns the job. suspect is set while that is
	// possible: the results here may then lack some that readers have seen.
	displaced bool
	suspect   bool
	// suspectedAt is when suspect was last set. Only a read of the record that began
	// later can clear it.
	suspectedAt time.Time
	// confirmedAt is when the last successful read of the record began, and lastReadAt
	// when the last read of all began.
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
	// inherited is set if an earlier job ended before the group was complete: the trainer
	// waits for such a group in any case.
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

	progress progress
	// saved is the number of events of the current text in the store, and texts the
	// number of times that the text was discarded and begun again.
	saved   int
	texts   int
	running *attempt
	// runs counts the runs started on this node.
	runs int
	done bool
	// expected is the number of events estimated from earlier runs, 0 if unknown.
	expected int
	// events is the largest number of events that a text had when a run ended or the text
	// was restored.
	events int
	// failures counts responses that say that the item failed, and ownFailures those of
	// replicas that were not failing at the time. failedAt are the replicas that sent
	// them.
	failures    int
	ownFailures int
	failedAt    []string
	// breaks counts runs that ended early for a reason other than the item.
	breaks int
	// stalls counts runs that were canceled because no events came.
	stalls int
	// waited is the time from the job's start on this node to the item's first run, and
	// lastRun the run that ended last.
	waited  time.Duration
	lastRun *attempt
	// retryAt is when the item may run again.
	retryAt time.Time
}

// open reports whether the job still has items to run.
func (j *job) open() bool { return !j.ended && !j.displaced && len(j.listed) < len(j.items) }

// mayBeLost reports whether another node may take the job over, which is possible while
// it is open or its end is not stored.
func (j *job) mayBeLost() bool { return j.open() || (j.ended && !j.endStored && !j.displaced) }

// allListed reports whether every item has a result in the store.
func (j *job) allListed() bool { return len(j.listed) >= len(j.items) }

// markSuspect sets suspect until a read of the record that begins from now on clears it.
func (j *job) markSuspect() { j.suspect, j.suspectedAt = true, time.Now() }

// notify wakes the waiting readers.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// appendAnswerTimeout is how long results that are being appended are assumed not to be
// in the store yet. Readers are guaranteed that what was read remains readable one second
// later.
const appendAnswerTimeout = 100 * time.Millisecond

// isCertain reports whether reads may be answered from memory. That is not so while
// another node may own the job, nor while an append that was in progress when the job
// ended has no outcome. The mutex must be held.
func (j *job) isCertain() bool {
	return j != nil && !j.suspect && !(j.ended && !j.appendingSince.IsZero())
}

// isAppending reports whether the store may have results that are not listed here. The
// mutex must be held.
func (j *job) isAppending() bool {
	return !j.appendingSince.IsZero() && time.Since(j.appendingSince) > appendAnswerTimeout
}

// flushLater makes the publisher append the finished results.
func (j *job) flushLater() {
	select {
	case j.flush <- struct{}{}:
	default:
	}
}
