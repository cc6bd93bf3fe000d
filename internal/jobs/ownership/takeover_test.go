package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

func TestDecide(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name string
		job  RemoteJob
		rank int
		// silence is the time since the last heartbeat.
		silence time.Duration
		want    Decision
	}{
		{"ended", RemoteJob{Ended: true}, 0, time.Hour, Decision{Reason: ReasonEnded}},
		{"being taken over", RemoteJob{TakingOver: true}, 0, time.Hour, Decision{Reason: ReasonTakingOver}},
		{"just tried", RemoteJob{RetryAt: now.Add(1)}, 0, time.Hour, Decision{Reason: ReasonBackoff}},
		{"to be tried again", RemoteJob{RetryAt: now}, 0, time.Hour, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"outside", RemoteJob{}, Unranked, time.Hour, Decision{Reason: ReasonOutside}},
		{"outside, of a former process", RemoteJob{Owner: OwnerPreviousProcess}, Unranked, time.Hour, Decision{Reason: ReasonOutside}},
		{"first, heard", RemoteJob{}, 0, OwnerTimeout, Decision{Reason: ReasonDelay}},
		{"first, silent", RemoteJob{}, 0, OwnerTimeout + 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"second, silent", RemoteJob{}, 1, OwnerTimeout + 1, Decision{Reason: ReasonDelay}},
		{"second, silent for longer", RemoteJob{}, 1, OwnerTimeout + RankDelay + 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"leaving", RemoteJob{Owner: OwnerLeaving}, 0, 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"leaving, second", RemoteJob{Owner: OwnerLeaving}, 1, RankDelay, Decision{Reason: ReasonDelay}},
		{"restarted", RemoteJob{Owner: OwnerRestarted}, 0, RankDelay, Decision{Reason: ReasonDelay}},
		{"restarted, not taken up", RemoteJob{Owner: OwnerRestarted}, 0, RankDelay + 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"of a former process", RemoteJob{Owner: OwnerPreviousProcess}, 3, 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"last watcher", RemoteJob{}, Watchers - 1, OwnerTimeout + (Watchers-1)*RankDelay + 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"no watcher, as long", RemoteJob{}, Watchers, OwnerTimeout + (Watchers-1)*RankDelay + 1, Decision{Reason: ReasonDelay}},
		{"no watcher, leaving", RemoteJob{Owner: OwnerLeaving}, Watchers, UnwatchedDelay, Decision{Reason: ReasonDelay}},
		{"no watcher", RemoteJob{}, Watchers, UnwatchedDelay + 1, Decision{TakeOver: true, ProbeOwner: true, Reason: ReasonSilent}},
		{"no watcher, later in rank", RemoteJob{}, Watchers + 2, UnwatchedDelay + 2*RankDelay, Decision{Reason: ReasonDelay}},
		{"no watcher, of a former process", RemoteJob{Owner: OwnerPreviousProcess}, Watchers, 1, Decision{TakeOver: true, ProbeOwner: true, Reason: ReasonSilent}},
	} {
		test.job.LastHeartbeat = now.Add(-test.silence)
		test.job.Rank = func() int { return test.rank }
		if got := Decide(test.job, now); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestTheRankIsAskedForOnlyWhereItDecides(t *testing.T) {
	now := time.Now()
	for _, job := range []RemoteJob{{Ended: true}, {TakingOver: true}, {RetryAt: now.Add(1)}} {
		job.Rank = func() int { t.Errorf("rank of %+v asked for", job); return 0 }
		Decide(job, now)
	}
}

func TestRecordsDecideOnReplacesAndStarts(t *testing.T) {
	self, former := jobstore.Owner{Node: "self", Incarnation: 2}, jobstore.Owner{Node: "self", Incarnation: 1}
	stored := func(owner jobstore.Owner, epoch int, ended bool) jobstore.StoredJob {
		return jobstore.StoredJob{Record: jobstore.Record{Owner: owner, Epoch: epoch}, Ended: ended}
	}
	for _, test := range []struct {
		stored  jobstore.StoredJob
		outside bool
		replace Reason
		start   Reason
	}{
		{stored(former, 1, false), false, ReasonOwned, ReasonOtherOwner},
		{stored(former, 1, false), true, ReasonOutside, ReasonOtherOwner},
		{stored(former, 1, true), false, ReasonEnded, ReasonEnded},
		{stored(self, 2, false), false, ReasonOtherOwner, ReasonOwned},
		{stored(self, 3, false), false, ReasonOtherOwner, ReasonOtherEpoch},
		{stored(jobstore.Owner{Node: "other"}, 2, false), false, ReasonOtherOwner, ReasonOtherOwner},
	} {
		if may, reason := DecideReplace(test.stored, former, test.outside); reason != test.replace || may != (reason == ReasonOwned) {
			t.Errorf("replace %+v: %v, %s", test.stored, may, reason)
		}
		if may, reason := DecideStart(test.stored, self, 2); reason != test.start || may != (reason == ReasonOwned) {
			t.Errorf("start %+v: %v, %s", test.stored, may, reason)
		}
	}
}

func TestRanksAreOfSuccessorsAlone(t *testing.T) {
	var nodes []string
	for number := range 2 * Locators {
		nodes = append(nodes, fmt.Sprintf("node-%d", number))
	}
	owner := LocatorsOf("job", nodes)[0]
	successors := Successors(nodes, owner)
	watchers := WatchersOf("job", successors)
	if len(successors) != len(nodes)-1 || len(watchers) != Watchers || len(LocatorsOf("job", nodes)) != Locators {
		t.Fatalf("%d successors, %d watchers", len(successors), len(watchers))
	}
	for place, watcher := range watchers {
		if got := Rank("job", successors, watcher); got != place {
			t.Errorf("watcher %d has rank %d", place, got)
		}
	}
	if got := Rank("job", successors, owner); got != Unranked {
		t.Errorf("the owner has rank %d", got)
	}
}
