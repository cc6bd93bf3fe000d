package watchcache

import (
	"testing"
	"time"
)

// Positions of following nodes, and cache ages.
var (
	inSmallArea   = treePosition{follows: true, mayRead: true}
	inTreeMayRead = treePosition{follows: true, inTree: true, mayRead: true}
	inTreeNoRead  = treePosition{follows: true, inTree: true}
	belowRelay    = treePosition{follows: true, inTree: true, relayed: true}
	justStale     = staleAge + time.Millisecond
	justCritical  = criticalAge + time.Millisecond
	longAgo       = time.Hour
)

func TestDecideAfterPoll(t *testing.T) {
	for _, test := range []struct {
		name     string
		observed pollObservation
		want     decision
	}{
		{"current", pollObservation{outcome: outcomeCurrent, position: inSmallArea, cacheAge: justCritical},
			decision{reason: reasonCurrent, follow: true}},
		{"leaving", pollObservation{outcome: outcomeLeaving, position: inSmallArea, cacheAge: justCritical},
			decision{reason: reasonLeaving, exclude: excludeLeaving}},

		{"silent, young copies", pollObservation{outcome: outcomeSilent, position: inSmallArea, cacheAge: staleAge},
			decision{reason: reasonSilent, exclude: excludeSilent, leaveAreaFor: silentExclusion}},
		{"silent again", pollObservation{outcome: outcomeSilent, position: inSmallArea, cacheAge: staleAge, silentBefore: true},
			decision{reason: reasonSilent, exclude: excludeSilent}},
		{"silent, stale copies", pollObservation{outcome: outcomeSilent, position: inSmallArea, cacheAge: justStale, silentBefore: true},
			decision{reason: reasonSilent, exclude: excludeSilent, readStore: true}},
		{"silent, stale copies, standby reader of a tree", pollObservation{outcome: outcomeSilent, position: inTreeMayRead, cacheAge: justStale, silentBefore: true},
			decision{reason: reasonSilent, exclude: excludeSilent, readStore: true}},
		{"silent, stale copies, no reader", pollObservation{outcome: outcomeSilent, position: inTreeNoRead, cacheAge: criticalAge, silentBefore: true},
			decision{reason: reasonSilent, exclude: excludeSilent}},
		{"silent, critical copies, no reader", pollObservation{outcome: outcomeSilent, position: inTreeNoRead, cacheAge: justCritical, silentBefore: true},
			decision{reason: reasonSilent, exclude: excludeSilent, readStore: true}},

		{"starting, no copies yet", pollObservation{outcome: outcomeStarting, position: inSmallArea, cacheAge: startTimeout - 1, suspect: true},
			decision{reason: reasonListing, follow: true}},
		{"starting, no copies for too long", pollObservation{outcome: outcomeStarting, position: inSmallArea, cacheAge: startTimeout},
			decision{reason: reasonListingTimeout, exclude: excludeUnsure, readStore: true}},
		{"starting, young copies", pollObservation{outcome: outcomeStarting, position: inSmallArea, cacheAge: staleAge - 1, listed: true},
			decision{reason: reasonListing, follow: true}},
		{"starting, stale copies", pollObservation{outcome: outcomeStarting, position: inSmallArea, cacheAge: staleAge, listed: true},
			decision{reason: reasonListingTimeout, exclude: excludeUnsure, readStore: true}},
		{"starting, turned to after an unsure reader", pollObservation{outcome: outcomeStarting, position: inSmallArea, listed: true, suspect: true},
			decision{reason: reasonListingTimeout, exclude: excludeUnsure, readStore: true}},
		{"starting, turned to after an unsure reader, in a tree", pollObservation{outcome: outcomeStarting, position: inTreeMayRead, listed: true, suspect: true, cacheAge: staleAge},
			decision{reason: reasonListingTimeout, exclude: excludeUnsure}},
		{"unlisted, young copies", pollObservation{outcome: outcomeUnlisted, position: inSmallArea, cacheAge: staleAge - 1},
			decision{reason: reasonListing, follow: true}},
		{"unlisted, stale copies", pollObservation{outcome: outcomeUnlisted, position: inSmallArea, cacheAge: staleAge},
			decision{reason: reasonListingTimeout, exclude: excludeUnsure, readStore: true}},

		{"unsure reader, store down", pollObservation{outcome: outcomeUnsure, position: inSmallArea, cacheAge: justCritical},
			decision{reason: reasonStoreUnavailable, follow: true, pause: unsureRetryInterval}},
		{"unsure reader once", pollObservation{outcome: outcomeUnsure, position: inSmallArea, storeAvailable: true, unsureReplies: 1, suspect: true},
			decision{reason: reasonUnsureOnce, follow: true, pause: unsureRetryInterval}},
		{"unsure reader, narrower area", pollObservation{outcome: outcomeUnsure, position: inSmallArea, storeAvailable: true, unsureReplies: maxUnsureReplies, suspect: true, suspectFor: staleAge - 1, narrowerArea: true},
			decision{reason: reasonUnsure, exclude: excludeUnsure, leaveAreaFor: unsureExclusion}},
		{"unsure reader, narrower area too late", pollObservation{outcome: outcomeUnsure, position: inSmallArea, storeAvailable: true, unsureReplies: maxUnsureReplies, suspect: true, suspectFor: staleAge, narrowerArea: true},
			decision{reason: reasonUnsure, exclude: excludeUnsure, leaveAreaFor: unsureExclusion, readStore: true}},
		{"unsure reader, no narrower area", pollObservation{outcome: outcomeUnsure, position: inSmallArea, storeAvailable: true, unsureReplies: maxUnsureReplies, suspect: true},
			decision{reason: reasonUnsure, exclude: excludeUnsure, leaveAreaFor: unsureExclusion, readStore: true}},
		{"unsure reader of a tree, young copies", pollObservation{outcome: outcomeUnsure, position: inTreeMayRead, cacheAge: staleAge, storeAvailable: true, unsureReplies: maxUnsureReplies, suspect: true},
			decision{reason: reasonUnsure, exclude: excludeUnsure, leaveAreaFor: unsureExclusion}},
		{"unsure reader of a tree, stale copies", pollObservation{outcome: outcomeUnsure, position: inTreeMayRead, cacheAge: justStale, storeAvailable: true, unsureReplies: maxUnsureReplies, suspect: true},
			decision{reason: reasonUnsure, exclude: excludeUnsure, leaveAreaFor: unsureExclusion, readStore: true}},

		{"unsure relay, young copies", pollObservation{outcome: outcomeUnsure, position: belowRelay, cacheAge: staleAge - 1, sinceRelayLeft: longAgo},
			decision{reason: reasonRelayFresh, follow: true}},
		{"unsure relay, following cancelled", pollObservation{outcome: outcomeUnsure, position: belowRelay, cacheAge: justCritical, sinceRelayLeft: longAgo, interrupted: true},
			decision{reason: reasonInterrupted, follow: true}},
		{"unsure relay, stale copies", pollObservation{outcome: outcomeUnsure, position: belowRelay, cacheAge: staleAge, sinceRelayLeft: longAgo},
			decision{reason: reasonRelayStale, exclude: excludeStaleRelay}},
		{"unsure relay, stale copies, another one just left", pollObservation{outcome: outcomeUnsure, position: belowRelay, cacheAge: staleAge, sinceRelayLeft: unsureExclusion - 1},
			decision{reason: reasonRelayWait, follow: true}},
		{"unsure relay, critical copies", pollObservation{outcome: outcomeUnsure, position: belowRelay, cacheAge: justCritical, storeAvailable: true, sinceRelayLeft: longAgo},
			decision{reason: reasonCriticalStoreAvailable, readStore: true}},
		{"unsure relay, critical copies, store down", pollObservation{outcome: outcomeUnsure, position: belowRelay, cacheAge: justCritical, sinceRelayLeft: unsureExclusion},
			decision{reason: reasonRelayStale, exclude: excludeStaleRelay}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := decideAfterPoll(test.observed); got != test.want {
				t.Errorf("got  %+v\nwant %+v", got, test.want)
			}
		})
	}
}
