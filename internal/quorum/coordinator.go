package quorum

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

// LeaseName is the lease whose holder may change the view.
const LeaseName = "quorum"

const (
	// seats is the most members of a view.
	maxSeats = 5
	// coordinatePeriod is the time between looks at the view's members.
	coordinatePeriod = time.Second
	// absencePatience is how long a member may be missing before it is
	// replaced.
	absencePatience = 4 * time.Second
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
	// OnView is told every view that the object API confirms.
	OnView func(*View)
}

// Coordinator replaces members that are gone. Only the holder of the lease
// runs it, but safety does not rest on that: a view is decided by a
// conditional write.
type Coordinator struct {
	config  CoordinatorConfig
	active  bool
	missing map[string]time.Time
	busy    bool
	// lostSince is when a majority of the view was last found missing.
	lostSince time.Time
}

// NewCoordinator returns an idle coordinator.
func NewCoordinator(config CoordinatorConfig) *Coordinator {
	return &Coordinator{config: config, missing: map[string]time.Time{}}
}

// Start begins to look after the view.
func (c *Coordinator) Start() {
	if c.active {
		return
	}
	c.active = true
	c.tick()
}

// Stop leaves the view to another holder.
func (c *Coordinator) Stop() { c.active = false }

func (c *Coordinator) tick() {
	if !c.active {
		return
	}
	if !c.busy {
		c.look()
	}
	c.config.Clock.AfterFunc(coordinatePeriod, c.tick)
}

func (c *Coordinator) look() {
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
		if next := c.nextView(view); next != nil {
			c.writeIfServed(view, next, object.Version)
		}
	})
}

// writeIfServed writes the next view once a majority of the current one
// serves it; before that there is nobody whose claims could be copied.
func (c *Coordinator) writeIfServed(current, next *View, version uint64) {
	if len(next.Previous) == 0 {
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
			if c.active && served >= current.Majority() {
				c.write(next, version)
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
	return &View{Epoch: 1, Seats: c.fill(nil)}
}

// nextView returns the view that replaces absent members, or nil while all
// are there or a majority is not, since then nothing could be copied.
func (c *Coordinator) nextView(view *View) *View {
	now := c.config.Clock.Now()
	var present []Seat
	overdue := false
	for _, seat := range view.Seats {
		if c.isPresent(seat) {
			delete(c.missing, seat.ID)
			present = append(present, seat)
			continue
		}
		since, noted := c.missing[seat.ID]
		if !noted {
			c.missing[seat.ID] = now
		}
		overdue = overdue || (noted && now.Sub(since) >= absencePatience) || c.isLeaving(seat)
	}
	target := oddSeats(len(c.config.Members.Usable()))
	grown := len(present) == len(view.Seats) && target > len(view.Seats)
	if !overdue && !grown {
		return nil
	}
	seats := c.fill(present)
	if !c.majorityAnswers(view) {
		return c.freshView(view, seats)
	}
	c.lostSince = time.Time{}
	if len(seats) < min(target, len(view.Seats)) {
		return nil
	}
	return &View{Epoch: view.Epoch + 1, Seats: seats, Previous: view.Seats}
}

// freshView starts over without copying, once a majority has been gone for
// longer than any claim is kept.
func (c *Coordinator) freshView(view *View, seats []Seat) *View {
	now := c.config.Clock.Now()
	if c.lostSince.IsZero() {
		c.lostSince = now
	}
	if now.Sub(c.lostSince) < Retention {
		return nil
	}
	c.lostSince = time.Time{}
	return &View{Epoch: view.Epoch + 1, Seats: seats}
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
	return known && member.Incarnation == seat.Incarnation && member.State <= wire.MemberSuspect
}

func (c *Coordinator) isLeaving(seat Seat) bool {
	member, known := c.config.Members.Get(seat.ID)
	return known && member.Incarnation == seat.Incarnation && member.State == wire.MemberLeaving
}

// fill adds members, from zones not yet seated first, up to an odd number.
func (c *Coordinator) fill(seats []Seat) []Seat {
	usable := c.config.Members.Usable()
	byID := make(map[string]wire.Member, len(usable))
	candidates := make([]rendezvous.Candidate, 0, len(usable))
	for _, member := range usable {
		byID[member.ID] = member
		candidates = append(candidates, rendezvous.Candidate{ID: member.ID, Zone: member.Zone})
	}
	seated, zones := map[string]bool{}, map[string]bool{}
	for _, seat := range seats {
		seated[seat.ID], zones[seat.Zone] = true, true
	}
	target := oddSeats(len(usable))
	ranked := rendezvous.RankAcrossZones(LeaseName, candidates)
	for _, freshZoneOnly := range []bool{true, false} {
		for _, candidate := range ranked {
			if len(seats) >= target || seated[candidate.ID] || (freshZoneOnly && zones[candidate.Zone]) {
				continue
			}
			member := byID[candidate.ID]
			seats = append(seats, Seat{ID: member.ID, Incarnation: member.Incarnation, Address: member.Address, Zone: member.Zone})
			seated[candidate.ID], zones[candidate.Zone] = true, true
		}
	}
	return seats
}

// oddSeats is the greatest odd number of seats up to maxSeats.
func oddSeats(members int) int {
	count := min(members, maxSeats)
	if count%2 == 0 {
		count--
	}
	return max(count, 1)
}
