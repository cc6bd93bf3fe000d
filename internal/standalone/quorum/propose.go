package quorum

import (
	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

// Read returns the value of a register, or nil when none can have been
// decided by a smaller ballot. A value found is made certain before it is
// returned.
func (c *Client) Read(register string, ballot uint64, done func([]byte, error)) {
	c.Propose(register, ballot, nil, done)
}

// Propose decides a register: done gets the value decided, which is an
// earlier proposer's where there was one. The ballot must be unique to the
// proposer and value; a lease's fencing token is.
func (c *Client) Propose(register string, ballot uint64, value []byte, done func([]byte, error)) {
	if c.view == nil {
		done(nil, merry.Wrap(ErrNoMajority))
		return
	}
	view := c.view
	var best wire.RegisterReply
	prepare := &wire.RegisterPrepare{Register: register, Ballot: ballot, Epoch: view.Epoch}
	c.majority(view, prepare, func(reply *wire.RegisterReply) {
		if reply.AcceptedBallot > best.AcceptedBallot {
			best = *reply
		}
	}, func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		if best.AcceptedBallot > 0 {
			value = best.Value
		}
		if value == nil {
			done(nil, nil)
			return
		}
		accept := &wire.RegisterAccept{Register: register, Ballot: ballot, Epoch: view.Epoch, Value: value}
		c.majority(view, accept, func(*wire.RegisterReply) {}, func(err error) { done(value, err) })
	})
}

// majority sends a register message to all seats and finishes once a
// majority has granted it or can no longer do so.
func (c *Client) majority(view *View, message wire.Message, each func(*wire.RegisterReply), done func(error)) {
	granted, waiting, finished, superseded := 0, len(view.Seats), false, false
	for _, seat := range view.Seats {
		c.peers.Call(seat.Address, message, callTimeout, func(answer wire.Message, err error) {
			waiting--
			reply, ok := answer.(*wire.RegisterReply)
			if finished {
				return
			}
			if err == nil && ok && reply.Granted {
				granted++
				each(reply)
			}
			if err == nil && ok && !reply.Granted && reply.Promised > 0 {
				superseded = true
			}
			if granted >= view.Majority() {
				finished = true
				done(nil)
				return
			}
			if granted+waiting < view.Majority() {
				finished = true
				if superseded {
					done(merry.Wrap(ErrSuperseded))
					return
				}
				done(merry.Wrap(ErrNoMajority))
			}
		})
	}
}
