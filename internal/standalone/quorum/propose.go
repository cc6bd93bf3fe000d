package quorum

import (
	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

// Read passes the value of a register to done, or nil if no value can have been
// decided by a smaller ballot. A value found is first accepted by a majority.
func (c *Client) Read(register string, ballot uint64, done func([]byte, error)) {
	c.Propose(register, ballot, nil, done)
}

// Propose decides a register and passes the decided value to done: that of an
// earlier proposer if there is one, otherwise the given value. A ballot must be
// unique to a proposer and value, as a lease's fencing token is.
func (c *Client) Propose(register string, ballot uint64, value []byte, done func([]byte, error)) {
	if c.view == nil {
		done(nil, merry.Wrap(ErrNoMajority))
		return
	}
	view := c.view
	var best wire.RegisterReply
	prepare := &wire.RegisterPrepare{Register: register, Ballot: ballot, Epoch: view.Epoch}
	c.callMajority(view, prepare, func(reply *wire.RegisterReply) {
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
		c.callMajority(view, accept, func(*wire.RegisterReply) {}, func(err error) { done(value, err) })
	})
}

// callMajority sends a register message to all seats and calls done once a
// majority has granted it or can no longer do so. It passes each granting reply
// that arrives before that to onGranted.
func (c *Client) callMajority(view *View, message wire.Message, onGranted func(*wire.RegisterReply), done func(error)) {
	granted, pending, finished, superseded := 0, len(view.Seats), false, false
	for _, seat := range view.Seats {
		c.peers.Call(seat.Address, message, callTimeout, func(replyMessage wire.Message, err error) {
			pending--
			reply, ok := replyMessage.(*wire.RegisterReply)
			if finished {
				return
			}
			if err == nil && ok && reply.Granted {
				granted++
				onGranted(reply)
			}
			if err == nil && ok && !reply.Granted && reply.Promised > 0 {
				superseded = true
			}
			if granted >= view.Majority() {
				finished = true
				done(nil)
				return
			}
			if granted+pending < view.Majority() {
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
