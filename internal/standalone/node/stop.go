package node

import (
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// handoverTimeout is how long a stopping node waits for another one to
	// take its seat in the quorum.
	handoverTimeout      = 15 * time.Second
	handoverPollInterval = 100 * time.Millisecond
)

// Stop hands over what this node holds, in order: it is declared leaving, the
// leases are released, and its quorum seat is taken by another node. Then done
// is called; the node still answers peers until Kill.
func (c *Core) Stop(done func()) {
	c.stopping = true
	c.table.DeclareLeaving()
	limit := c.config.Clock.Now().Add(handoverTimeout)
	c.leases.Stop(func() { c.awaitHandover(limit, done) })
}

// Stopping tells whether a planned stop has begun.
func (c *Core) Stopping() bool { return c.stopping }

func (c *Core) awaitHandover(limit time.Time, done func()) {
	view := c.quorum.View()
	seated := view != nil && view.HasSeat(c.config.Self.ID, c.config.Self.Identity)
	if !seated || !c.othersUsable() || c.config.Clock.Now().After(limit) {
		c.announceAbsence(done)
		return
	}
	c.config.Clock.AfterFunc(handoverPollInterval, func() { c.awaitHandover(limit, done) })
}

func (c *Core) othersUsable() bool {
	for _, member := range c.table.Usable() {
		if member.ID != c.config.Self.ID {
			return true
		}
	}
	return false
}

// announceAbsence declares the node dead, so that nobody probes it in vain.
func (c *Core) announceAbsence(done func()) {
	c.table.DeclareDead()
	c.config.Clock.AfterFunc(handoverPollInterval, done)
}

// Leases lists what this node holds, for the status page.
func (c *Core) Leases() []string { return c.leases.HeldNames() }

// View of the members for the status page, dead ones included.
func (c *Core) AllMembers() []wire.Member { return c.table.All() }
