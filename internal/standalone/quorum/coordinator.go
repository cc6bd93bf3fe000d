package quorum

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// LeaseName is the name of the lease whose holder runs the Coordinator.
const LeaseName = "quorum"

const (
	// maxSeats is the maximum number of seats of a view.
	maxSeats = 5
	// coordinatePeriod is the interval between checks of the view.
	coordinatePeriod = time.Second
	// absenceTimeout is how long a member may be absent before its seat is
	// replaced.
	absenceTimeout = 4 * time.Second
	// afterAllKeys sorts after the key of every claim. A seal request of epoch 0
	// with it returns no claims and only asks which epoch a member serves.
	afterAllKeys = "\U0010FFFF"
)

// Members is the part of the membership table that a Coordinator uses.
type Members interface {
	Usable() []wire.Member
	Get(id string) (wire.Member, bool)
}

// CoordinatorConfig holds the dependencies of a Coordinator.
type CoordinatorConfig struct {
	Clock   environment.Clock
	Peers   environment.Peers
	Objects environment.Objects
	Members Members
	// OnView is called with every view read from or written to the object API.
	OnView func(*View)
}

// Coordinator maintains the view and replaces absent members. Only the holder of
// the lease runs it, but safety does not depend on that: each view is decided by
// a conditional write. It is not safe for concurrent use.
type Coordinator struct {
	config CoordinatorConfig
	active bool
	// round counts the calls of Start, so that an earlier one's timer stops.
	round int
	// absentSince is when each absent member was first found absent, by id.
	absentSince map[string]time.Time
	// inFlight means that a check or a write of the view is in progress.
	inFlight bool
	// majorityLostSince is when a majority of the view was first found
	// unreachable; zero while one is reachable.
	majorityLostSince time.Time
	// servedEpoch is the epoch of the newest view known to be served by a
	// majority.
	servedEpoch uint64
}

// NewCoordinator returns a coordinator that is not started.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{config: config, absentSince: map[string]time.Time{}}
}

// Start starts the periodic checks of the view.
func (c *Coordinator) Start() {
	if c.active {
		return
	}
	c.active = true
	c.round++
	c.tick(c.round)
}

// Stop stops the checks, so that another holder of the lease can take over.
func (c *Coordinator) Stop() { c.active = false }

// tick checks the view once a period until Stop or a later Start.
func (c *Coordinator) tick(round int) {
	if !c.active || round != c.round {
		return
	}
	if !c.inFlight {
		c.check()
	}
	c.config.Clock.AfterFunc(coordinatePeriod, func() { c.tick(round) })
}

// check reads the view and writes the first or the next one where needed.
func (c *Coordinator) check() {
	c.inFlight = true
	c.config.Objects.Get(DocumentName, func(object environment.Object, err error) {
		c.inFlight = false
		if !c.active {
			return
		}
		if errors.Is(err, environment.ErrObjectNotFound) {
			c.write(c.firstView(), 0)
			return
		}
		view := &View{}
		if err != nil || json.Unmarshal(object.Data, view) != nil {
			return
		}
		c.config.OnView(view)
		next := c.nextView(view)
		if next != nil || (view.Epoch != c.servedEpoch && c.majorityReplaced(view.Previous)) {
			c.writeIfServed(view, next, object.Version)
		}
	})
}

// writeIfServed writes the next view, if there is one, provided that a majority
// of the current view serves it; before that there are no members to copy the
// claims from. If the current view can never be served, because a majority of
// the previous one was replaced before it was copied, it writes a reset view.
// A next view that copies nothing is written at once.
func (c *Coordinator) writeIfServed(current, next *View, version uint64) {
	if next != nil && len(next.Previous) == 0 {
		c.write(next, version)
		return
	}
	c.inFlight = true
	served, pending := 0, len(current.Seats)
	for _, seat := range current.Seats {
		c.config.Peers.Call(seat.Address, &wire.ClaimSeal{After: afterAllKeys}, callTimeout, func(message wire.Message, err error) {
			pending--
			if snapshot, ok := message.(*wire.ClaimSnapshot); err == nil && ok && snapshot.Epoch == current.Epoch {
				served++
			}
			if pending > 0 {
				return
			}
			c.inFlight = false
			switch {
			case !c.active:
			case served >= current.Majority():
				c.servedEpoch = current.Epoch
				if next != nil {
					c.write(next, version)
				}
			case c.majorityReplaced(current.Previous):
				present, _ := c.presentSeats(current)
				c.write(c.resetView(current, c.choose(present)), version)
			}
		})
	}
}

// write stores a view if the object still has the given version.
func (c *Coordinator) write(view *View, version uint64) {
	data, err := json.Marshal(view)
	if err != nil || len(view.Seats) == 0 {
		return
	}
	c.inFlight = true
	c.config.Objects.Put(DocumentName, data, version, func(_ environment.Object, err error) {
		c.inFlight = false
		if err == nil {
			c.config.OnView(view)
		}
	})
}

// firstView returns the view for a cluster that has none.
func (c *Coordinator) firstView() *View {
	return &View{Epoch: 1, Seats: c.choose(nil)}
}

// nextView returns the view that replaces absent members or improves the choice
// of seats, or nil if nothing is to change. If a majority is unreachable,
// nothing can be copied, so the only change is a reset.
func (c *Coordinator) nextView(view *View) *View {
	present, needsReplacement := c.presentSeats(view)
	seats := c.choose(present)
	if !c.majorityReachable(view) {
		return c.resetIfLost(view, seats)
	}
	c.majorityLostSince = time.Time{}
	if !needsReplacement && !improves(seats, view.Seats) {
		return nil
	}
	return &View{Epoch: view.Epoch + 1, Seats: seats, Previous: view.Seats, ClaimsFrom: view.ClaimsFrom}
}

// presentSeats returns the seats whose members are present, and whether another
// one has been absent for absenceTimeout or is leaving.
func (c *Coordinator) presentSeats(view *View) (present []Seat, needsReplacement bool) {
	now := c.config.Clock.Now()
	for _, seat := range view.Seats {
		if c.isPresent(seat) {
			delete(c.absentSince, seat.ID)
			present = append(present, seat)
			continue
		}
		since, known := c.absentSince[seat.ID]
		if !known {
			c.absentSince[seat.ID] = now
		}
		needsReplacement = needsReplacement || (known && now.Sub(since) >= absenceTimeout) || c.isLeaving(seat)
	}
	return present, needsReplacement
}

// resetIfLost returns a view that copies nothing if a majority is lost for good:
// either so many members came back with another identity, or a majority has been
// unreachable for longer than anything is kept. Otherwise it returns nil.
func (c *Coordinator) resetIfLost(view *View, seats []Seat) *View {
	now := c.config.Clock.Now()
	if c.majorityLostSince.IsZero() {
		c.majorityLostSince = now
	}
	if now.Sub(c.majorityLostSince) >= Retention {
		return &View{Epoch: view.Epoch + 1, Seats: seats}
	}
	if !c.majorityReplaced(view.Seats) {
		return nil
	}
	return c.resetView(view, seats)
}

// resetView returns the view that follows one whose tables are lost. Registers
// are served at once, because the stores keep copies of the manifests; claims
// are granted only after the retention of the lost ones.
func (c *Coordinator) resetView(view *View, seats []Seat) *View {
	return &View{Epoch: view.Epoch + 1, Seats: seats, ClaimsFrom: c.config.Clock.Now().Add(Retention).UnixMilli()}
}

// majorityReplaced reports whether so many seats' members came back with another
// identity that no majority of the seats can ever reply again.
func (c *Coordinator) majorityReplaced(seats []Seat) bool {
	replaced := 0
	for _, seat := range seats {
		if member, known := c.config.Members.Get(seat.ID); known && member.Identity != seat.Identity && member.State <= wire.MemberSuspect {
			replaced++
		}
	}
	return len(seats) > 0 && len(seats)-replaced < majority(seats)
}

// majorityReachable reports whether a majority of the seats is present. Leaving
// members count, since they still reply.
func (c *Coordinator) majorityReachable(view *View) bool {
	count := 0
	for _, seat := range view.Seats {
		if c.isPresent(seat) || c.isLeaving(seat) {
			count++
		}
	}
	return count >= view.Majority()
}

func (c *Coordinator) isPresent(seat Seat) bool {
	member, known := c.config.Members.Get(seat.ID)
	return known && member.Identity == seat.Identity && member.State <= wire.MemberSuspect
}

func (c *Coordinator) isLeaving(seat Seat) bool {
	member, known := c.config.Members.Get(seat.ID)
	return known && member.Identity == seat.Identity && member.State == wire.MemberLeaving
}
