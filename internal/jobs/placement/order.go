package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPassedOver is how long an item of a competing job can be passed over by items of the
	// same priority, or until its step is due if that is later. Where tenants have shares, it
	// holds among the items of one tenant. Trainers have two steps of 4 s in flight: an item that
	// waits for 8 s already holds up the step after the next, and each further 4 s cost its
	// trainer a step.
	maxPassedOver = 8 * time.Second
	// riskSlack is the slack below which an item is at risk. It covers the wait for a slot,
	// which is released every few milliseconds, and the error of the expected run time.
	riskSlack = time.Second
	// lagStep is the resolution at which lags are compared. Smaller differences are within the
	// variation of the time that trainers take between steps.
	lagStep = time.Second
	// lengthErrorFactor is the factor by which expected lengths are often wrong: one in three
	// hints of callers is off by 1.6. Items and steps yield only if they would be late even if
	// their texts were shorter by this factor. Without it, items that could be in time waited
	// behind all others.
	lengthErrorFactor = 1.6
)

// itemClass orders items of the same priority and share, lowest first.
type itemClass int64

const (
	// classAtRisk has items that have to start now for their step to be in time.
	classAtRisk itemClass = iota
	classUrgent
	classOther
	// classYielding has items of steps that cannot be in time, and items that cannot be in
	// time themselves.
	classYielding
)

// sortKey is the position of an item in the order: keys are compared element by element.
type sortKey [8]int64

// The elements of a sortKey before those that depend on the class.
const (
	keyPriority = iota
	keyExcess
	keyOverdue
	keyClass
	keyInClass
)

// compare orders keys.
func (k *sortKey) compare(other *sortKey) int { return slices.Compare(k[:], other[:]) }

// key returns the position of an item in the order. excess is the number of slots by which
// the item's tenant would exceed its share.
func (i Item) key(excess int) sortKey {
	class := i.class()
	key := sortKey{keyPriority: int64(i.Priority), keyExcess: int64(excess), keyClass: int64(class)}
	if i.IsOverdue() {
		// The item that waits longest comes first.
		key[keyOverdue] = -int64(i.Waited)
	}
	age, lag, rank := i.JobStarted.Truncate(ageStep).Unix(), -int64(i.Lag/lagStep), int64(i.Rank)
	var inClass [4]int64
	switch class {
	case classAtRisk:
		inClass = [4]int64{lag, i.latestStart().UnixNano(), age, rank}
	case classUrgent:
		inClass = [4]int64{i.latestStart().UnixNano(), age, rank}
	case classYielding:
		inClass = [4]int64{lag, age, rank}
	default:
		inClass = [4]int64{age, lag, rank}
	}
	copy(key[keyInClass:], inClass[:])
	return key
}

// class returns the class of the item.
func (i Item) class() itemClass {
	switch {
	case i.Competes && (i.Yields || i.cannotBeInTime()):
		return classYielding
	case i.IsAtRisk():
		return classAtRisk
	case i.IsUrgent():
		return classUrgent
	}
	return classOther
}

// IsAtRisk reports whether any further wait may make a competing item's step late, although
// the step can be in time.
func (i Item) IsAtRisk() bool {
	return i.Competes && !i.Reserve && !i.Yields && !i.cannotBeInTime() && i.slack() < riskSlack
}

// cannotBeInTime reports whether the item would be late even if its text were shorter than
// expected by lengthErrorFactor.
func (i Item) cannotBeInTime() bool {
	return float64(i.ExpectedRunTime)/lengthErrorFactor > float64(i.TimeLeft+deadlineTolerance)
}

// slack returns how long the item can wait and end by its deadline.
func (i Item) slack() time.Duration { return i.TimeLeft - i.ExpectedRunTime }

// IsOverdue reports whether a competing item has waited for longer than maxPassedOver and its
// step is due, so that it precedes the other items of its priority and tenant.
func (i Item) IsOverdue() bool { return i.Competes && i.Waited > maxPassedOver && i.TimeLeft <= 0 }

// Shares is the use of slots by tenants. The zero value applies if no tenants are declared.
type Shares struct {
	// Slots is the number of slots for which the tenants compete, 0 if they do not.
	Slots int
	// Used is the number of slots that each tenant uses on all nodes.
	Used map[string]int
}

// Sort returns the order of items as indices. It is the order of Compare, but items with
// which a tenant would exceed its share of the slots follow all items of the same priority
// with which tenants remain within theirs. Tenants with the same priority have equal shares;
// what one of them leaves unused is distributed evenly.
func Sort(items []Item, shares Shares) []int {
	keys := make([]sortKey, len(items))
	order := make([]int, len(items))
	for i := range items {
		keys[i], order[i] = items[i].key(0), i
	}
	byKey := func(a, b int) int { return cmp.Or(keys[a].compare(&keys[b]), a-b) }
	slices.SortFunc(order, byKey)
	if shares.Slots == 0 {
		return order
	}
	if shares.apply(items, keys, order) {
		slices.SortFunc(order, byKey)
	}
	return order
}

// apply sets the excess in the keys of competing items, which order lists in the order in
// which their tenants want them. It reports whether a key has changed.
func (s Shares) apply(items []Item, keys []sortKey, order []int) bool {
	waiting := map[int]map[string]bool{}
	for _, index := range order {
		item := &items[index]
		if !item.Competes {
			continue
		}
		if waiting[item.Priority] == nil {
			waiting[item.Priority] = map[string]bool{}
		}
		waiting[item.Priority][item.Tenant] = true
	}
	share, used := map[int]int{}, map[string]int{}
	for priority, tenants := range waiting {
		share[priority] = s.shareOf(tenants)
	}
	changed := false
	for _, index := range order {
		item := &items[index]
		if !item.Competes || len(waiting[item.Priority]) < 2 {
			continue
		}
		used[item.Tenant]++
		if excess := s.Used[item.Tenant] + used[item.Tenant] - share[item.Priority]; excess > 0 {
			keys[index][keyExcess], changed = int64(excess), true
		}
	}
	return changed
}

// shareOf returns the number of slots for each of the tenants that have items waiting. The
// slots that other tenants use are not available to them.
func (s Shares) shareOf(waiting map[string]bool) int {
	available := s.Slots
	for tenant, used := range s.Used {
		if !waiting[tenant] {
			available -= used
		}
	}
	return max(0, available) / len(waiting)
}
