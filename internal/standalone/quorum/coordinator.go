package quorum

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// LeaseName is the lease whose holder may change the view.
const LeaseName = "quorum"

const (
	// seats is the most members of a view.
	maxSeats = 5
	// coordinatePeriod is the time between checks of the view's members.
	coordinatePeriod = time.Second
	// absenceTimeout is how long a member may be missing before it is
	// replaced.
	absenceTimeout = 4 * time.Second
	// lastKey sorts behind every claim, so that a seal of epoch 0 with it only
	// asks which view a member serves.
	lastKey = "\U0010FFFF"
)

// Members is what the coordinator needs of the membership table.
type Members interface {
	Usable() []wire.Member
	Get(id string) (wire.Member, bool)
}

// CoordinatorConfig is what a Coordinator needs.
type CoordinatorConfig struct {
	Clock   environment.Clock
	Peers   environment.Peers
	Objects environment.Objects
	Members Members
	// OnView is called with every view that the object API confirms.
	OnView func(*View)
}

// Coordinator replaces members that are gone. Only the holder of the lease
// runs it, but safety does not rest on that: a view is decided by a
// conditional write.
type Coordinator struct {
	config  CoordinatorConfig
	active  bool
	round   int
	missing map[string]time.Time
	busy    bool
	// lostSince is when a majority of the view was last found missing.
	lostSince time.Time
	// servedEpoch is the newest view known to be served by a majority.
	servedEpoch uint64
}

// NewCoordinator returns an idle coordinator.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{config: config, missing: map[string]time.Time{}}
}

// Start begins to maintain the view.
func (c *Coordinator) Start() {
	if c.active {
		return
	}
	c.active = true
	c.round++
	c.tick(c.round)
}

// Stop leaves the view to another holder.
func (c *Coordinator) Stop() { c.active = false }

// tick checks the view once a period until the round, begun by Start, ends.
func (c *Coordinator) tick(round int) {
	if !c.active || round != c.round {
		return
	}
	if !c.busy {
		c.check()
	}
	c.config.Clock.AfterFunc(coordinatePeriod, func() { c.tick(round) })
}

func (c *Coordinator) check() {
	c.busy = true
	c.config.Objects.Get(DocumentName, func(object environment.Object, err error) {
		c.busy = false
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
		if next != nil || (view.Epoch != c.servedEpoch && c.isHopeless(view.Previous)) {
			c.writeIfServed(view, next, object.Version)
		}
	})
}

// writeIfServed writes the next view, if there is one, once a majority of the
// current one serves it; before that there is nobody whose claims could be
// copied. Where the current view can never be served, because a majority of
// the one before was lost meanwhile, it starts over.
func (c *Coordinator) writeIfServed(current, next *View, version uint64) {
	if next != nil && len(next.Previous) == 0 {
		c.write(next, version)
		return
	}
	c.busy = true
	served, waiting := 0, len(current.Seats)
	for _, seat := range current.Seats {
		c.config.Peers.Call(seat.Address, &wire.ClaimSeal{After: lastKey}, callTimeout, func(message wire.Message, err error) {
			waiting--
			if snapshot, ok := message.(*wire.ClaimSnapshot); err == nil && ok && snapshot.Epoch == current.Epoch {
				served++
			}
			if waiting > 0 {
				return
			}
			c.busy = false
			switch {
			case !c.active:
			case served >= current.Majority():
				c.servedEpoch = current.Epoch
				if next != nil {
					c.write(next, version)
				}
			case c.isHopeless(current.Previous):
				present, _ := c.present(current)
				c.write(c.startOver(current, c.choose(present)), version)
			}
		})
	}
}

func (c *Coordinator) write(view *View, version uint64) {
	data, err := json.Marshal(view)
	if err != nil || len(view.Seats) == 0 {
		return
	}
	c.busy = true
	c.config.Objects.Put(DocumentName, data, version, func(_ environment.Object, err error) {
		c.busy = false
		if err == nil {
			c.config.OnView(view)
		}
	})
}

func (c *Coordinator) firstView() *View {
	return &View{Epoch: 1, Seats: c.choose(nil)}
}

// nextView returns the view that replaces absent members or spreads over more
// zones, or nil while there is nothing to change or a majority is not there,
// since then nothing could be copied.
func (c *Coordinator) nextView(view *View) *View {
	present, overdue := c.present(view)
	seats := c.choose(present)
	if !c.majorityAnswers(view) {
		return c.freshView(view, seats)
	}
	c.lostSince = time.Time{}
	if !overdue && !better(seats, view.Seats) {
		return nil
	}
	return &View{Epoch: view.Epoch + 1, Seats: seats, Previous: view.Seats, ClaimsFrom: view.ClaimsFrom}
}

// present returns the seats whose members are there, and whether one of the
// others has been missing for too long or is leaving.
func (c *Coordinator) present(view *View) (present []Seat, overdue bool) {
	now := c.config.Clock.Now()
	for _, seat := range view.Seats {
		if c.isPresent(seat) {
			delete(c.missing, seat.ID)
			present = append(present, seat)
			continue
		}
		since, known := c.missing[seat.ID]
		if !known {
			c.missing[seat.ID] = now
		}
		overdue = overdue || (known && now.Sub(since) >= absenceTimeout) || c.isLeaving(seat)
	}
	return present, overdue
}

// freshView starts over without copying once a majority is gone for good:
// either later processes have taken their places, or they have been silent
// for longer than anything is kept. Registers are served at once, because the
// stores keep copies of the manifests; claims only after their retention.
func (c *Coordinator) freshView(view *View, seats []Seat) *View {
	now := c.config.Clock.Now()
	if c.lostSince.IsZero() {
		c.lostSince = now
	}
	if now.Sub(c.lostSince) >= Retention {
		return &View{Epoch: view.Epoch + 1, Seats: seats}
	}
	if !c.isHopeless(view.Seats) {
		return nil
	}
	return c.startOver(view, seats)
}

// startOver is the view after one whose tables are lost.
func (c *Coordinator) startOver(view *View, seats []Seat) *View {
	return &View{Epoch: view.Epoch + 1, Seats: seats, ClaimsFrom: c.config.Clock.Now().Add(Retention).UnixMilli()}
}

// isHopeless tells whether so many seats belong to memories that have been
// replaced that no majority of them can ever answer again.
func (c *Coordinator) isHopeless(seats []Seat) bool {
	replaced := 0
	for _, seat := range seats {
		if member, known := c.config.Members.Get(seat.ID); known && member.Identity != seat.Identity && member.State <= wire.MemberSuspect {
			replaced++
		}
	}
	return len(seats) > 0 && len(seats)-replaced < majority(seats)
}

// majorityAnswers tells whether a majority is there, counting members that
// are about to leave but have not gone.
func (c *Coordinator) majorityAnswers(view *View) bool {
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
