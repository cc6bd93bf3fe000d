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
		{"before the retry time", RemoteJob{RetryAt: now.Add(1)}, 0, time.Hour, Decision{Reason: ReasonBackoff}},
		{"at the retry time", RemoteJob{RetryAt: now}, 0, time.Hour, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"unranked", RemoteJob{}, Unranked, time.Hour, Decision{Reason: ReasonOutside}},
		{"unranked, owned by a previous process", RemoteJob{Owner: OwnerPreviousProcess}, Unranked, time.Hour, Decision{Reason: ReasonOutside}},
		{"first rank, within the timeout", RemoteJob{}, 0, OwnerTimeout, Decision{Reason: ReasonDelay}},
		{"first rank, timed out", RemoteJob{}, 0, OwnerTimeout + 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"second rank, within its delay", RemoteJob{}, 1, OwnerTimeout + 1, Decision{Reason: ReasonDelay}},
		{"second rank, after its delay", RemoteJob{}, 1, OwnerTimeout + RankDelay + 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"owner leaving", RemoteJob{Owner: OwnerLeaving}, 0, 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"owner leaving, second rank", RemoteJob{Owner: OwnerLeaving}, 1, RankDelay, Decision{Reason: ReasonDelay}},
		{"owner restarted, within the delay", RemoteJob{Owner: OwnerRestarted}, 0, RankDelay, Decision{Reason: ReasonDelay}},
		{"owner restarted, after the delay", RemoteJob{Owner: OwnerRestarted}, 0, RankDelay + 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"owned by a previous process", RemoteJob{Owner: OwnerPreviousProcess}, 3, 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"last watcher", RemoteJob{}, Watchers - 1, OwnerTimeout + (Watchers-1)*RankDelay + 1, Decision{TakeOver: true, Reason: ReasonSilent}},
		{"not a watcher, delay of a watcher", RemoteJob{}, Watchers, OwnerTimeout + (Watchers-1)*RankDelay + 1, Decision{Reason: ReasonDelay}},
		{"not a watcher, owner leaving", RemoteJob{Owner: OwnerLeaving}, Watchers, UnwatchedDelay, Decision{Reason: ReasonDelay}},
		{"not a watcher", RemoteJob{}, Watchers, UnwatchedDelay + 1, Decision{TakeOver: true, ProbeOwner: true, Reason: ReasonSilent}},
		{"not a watcher, later rank", RemoteJob{}, Watchers + 2, UnwatchedDelay + 2*RankDelay, Decision{Reason: ReasonDelay}},
		{"not a watcher, owned by a previous process", RemoteJob{Owner: OwnerPreviousProcess}, Watchers, 1, Decision{TakeOver: true, ProbeOwner: true, Reason: ReasonSilent}},
	} {
		test.job.LastHeartbeat = now.Add(-test.silence)
		test.job.Rank = func() int { return test.rank }
		if got := Decide(test.job, now); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestDecideCallsRankLast(t *testing.T) {
	now := time.Now()
	for _, job := range []RemoteJob{{Ended: true}, {TakingOver: true}, {RetryAt: now.Add(1)}} {
		job.Rank = func() int { t.Errorf("rank of %+v was computed", job); return 0 }
		Decide(job, now)
	}
}

func TestDecideReplaceAndStart(t *testing.T) {
	self, previous := jobstore.Owner{Node: "self", Incarnation: 2}, jobstore.Owner{Node: "self", Incarnation: 1}
	stored := func(owner jobstore.Owner, epoch int, ended bool) jobstore.StoredJob {
		return jobstore.StoredJob{Record: jobstore.Record{Owner: owner, Epoch: epoch}, Ended: ended}
	}
	for _, test := range []struct {
		stored  jobstore.StoredJob
		outside bool
		replace Reason
		start   Reason
	}{
		{stored(previous, 1, false), false, ReasonOwned, ReasonOtherOwner},
		{stored(previous, 1, false), true, ReasonOutside, ReasonOtherOwner},
		{stored(previous, 1, true), false, ReasonEnded, ReasonEnded},
		{stored(self, 2, false), false, ReasonOtherOwner, ReasonOwned},
		{stored(self, 3, false), false, ReasonOtherOwner, ReasonOtherEpoch},
		{stored(jobstore.Owner{Node: "other"}, 2, false), false, ReasonOtherOwner, ReasonOtherOwner},
	} {
		if may, reason := DecideReplace(test.stored, previous, test.outside); reason != test.replace || may != (reason == ReasonOwned) {
			t.Errorf("replace %+v: allowed %v, reason %s", test.stored, may, reason)
		}
		if may, reason := DecideStart(test.stored, self, 2); reason != test.start || may != (reason == ReasonOwned) {
			t.Errorf("start %+v: allowed %v, reason %s", test.stored, may, reason)
		}
	}
}

func TestRankOfSuccessors(t *testing.T) {
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
	for index, watcher := range watchers {
		if got := Rank("job", successors, watcher); got != index {
			t.Errorf("watcher at index %d has rank %d", index, got)
		}
	}
	if got := Rank("job", successors, owner); got != Unranked {
		t.Errorf("the owner has rank %d, want none", got)
	}
}
