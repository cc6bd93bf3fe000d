package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// job is a batch job that this node runs. The service's mutex guards it.
type job struct {
	id         string
	submission *Submission
	record     jobstore.Record
	// takenUp is when this node started the job.
	takenUp time.Time
	// givenUpAt is when items may be given up, zero for never.
	givenUpAt time.Time
	// due is when the job is to be whole, zero for no such time, and objective how long
	// after its acceptance that is.
	due       time.Time
	objective time.Duration

	items map[string]*item
	// order lists the items as submitted.
	order []string
	// listed are the results that the store holds, in their order.
	listed []jobstore.Result
	chunks int
	// finished are results that are not in the store yet.
	finished []jobstore.Result
	serial   int
	// textsSaved is when the texts of running items were last saved.
	textsSaved time.Time
	// saving is set while texts are on their way into the store.
	saving bool
	// appendingSince is since when results are on their way into the store, which may
	// have them already; zero while none are.
	appendingSince time.Time
	groups         map[string]*group
	// flushSoon is set when a group became whole, to append without delay.
	flushSoon bool
	flush     chan struct{}

	ended   bool
	endedAt time.Time
	// endStored tells that the store has the end.
	endStored bool
	// displaced is set once another node owns the job, and suspect while that
	// may be so: the results here may then lack some that have been read.
	displaced bool
	suspect   bool
	// suspectedAt is when the job became suspect last: a read of the record that began
	// before shows nothing.
	suspectedAt time.Time
	// confirmedAt is when the last read of the record that was answered began, and
	// lastReadAt when the last one of all did.
	confirmedAt time.Time
	lastReadAt  time.Time
	// changed is closed at each change that a waiting reader has to see.
	changed chan struct{}
	// ctx is that of the job's runs: it ends with the job.
	ctx    context.Context
	cancel context.CancelFunc
	// appends is the context of writing to the store, which outlives the job's end: it
	// ends when another node owns the job or this one forgets it.
	appends       context.Context
	cancelAppends context.CancelFunc
}

// group counts the items of a group that have no result yet.
type group struct {
	open int
	// inherited is set where an earlier job ended without the group, so that the trainer
	// waits for it in any case.
	inherited bool
}

// item is the state of one item on its way. The service's mutex guards it.
type item struct {
	*Item
	job   *job
	group *group
	// rank is the item's place in the order of work of its job.
	rank placement.Rank
	// urgent is set while it waits and its job has no time to lose with it.
	urgent bool

	progress progress
	// saved is how many events of the text the store has, and texts how often the text
	// was begun anew.
	saved   int
	texts   int
	running *attempt
	// runs counts the runs begun here.
	runs int
	done bool
	// expected is how many events earlier runs let expect, 0 for nothing known.
	expected int
	// events is how many events its runs that have ended have made.
	events int
	// failures counts answers that say the item failed, ownFailures those of
	// replicas that were not failing at the time, and failedAt names the replicas.
	failures    int
	ownFailures int
	failedAt    []string
	// breaks counts runs that ended without a reason that the item gave.
	breaks int
	// stalls counts runs that were cut because nothing came.
	stalls int
	// waited is how long after the job's start here the first run began, and lastRun the
	// run that ended last.
	waited  time.Duration
	lastRun *attempt
	// notBefore is when the item may run again.
	retryAt time.Time
}

// open tells whether the job still has work.
func (j *job) open() bool { return !j.ended && !j.displaced && len(j.listed) < len(j.items) }

// mayBeLost tells whether another node may take the job over: it is open, or the
// store does not have its end.
func (j *job) mayBeLost() bool { return j.open() || (j.ended && !j.endStored && !j.displaced) }

// allListed tells whether every item has a result in the store.
func (j *job) allListed() bool { return len(j.listed) >= len(j.items) }

// markSuspect makes the job suspect until a read of its record that begins from now on.
func (j *job) markSuspect() { j.suspect, j.suspectedAt = true, time.Now() }

// notify wakes the readers that wait.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// appendAnswerTimeout is how long results on their way into the store are taken for not
// there yet. Readers are promised that what was read stays from a second later on.
const appendAnswerTimeout = 100 * time.Millisecond

// isCertain tells whether the job may be answered from memory: not where another node may
// own it, nor where an append that was under way at its end has no answer yet. The mutex
// must be held.
func (j *job) isCertain() bool {
	return j != nil && !j.suspect && !(j.ended && !j.appendingSince.IsZero())
}

// isAppending tells whether the store may have results that are not listed here. The
// mutex must be held.
func (j *job) isAppending() bool {
	return !j.appendingSince.IsZero() && time.Since(j.appendingSince) > appendAnswerTimeout
}

// flushLater has the publisher append what is finished.
func (j *job) flushLater() {
	select {
	case j.flush <- struct{}{}:
	default:
	}
}
