package node

import (
	"github.com/pathtally/pathtally/internal/wire"
)

// HandleMessage answers a message from the peer at an address.
func (c *Core) HandleMessage(from string, message wire.Message, reply func(wire.Message)) {
	if c.stopped {
		return
	}
	switch typed := message.(type) {
	case *wire.Ping:
		c.table.HandlePing(from, typed, reply)
	case *wire.Sync:
		reply(c.table.HandleSync(from, typed))
	case *wire.DocumentPull:
		reply(c.relay.HandlePull(typed))
	case *wire.LoadReport:
		for _, load := range typed.Loads {
			c.reportedLoad(load)
		}
	case *wire.ClaimRequest:
		c.member.HandleClaim(typed, reply)
	case *wire.ClaimSeal:
		c.member.HandleSeal(typed, reply)
	case *wire.RegisterPrepare:
		c.member.HandlePrepare(typed, reply)
	case *wire.RegisterAccept:
		c.member.HandleAccept(typed, reply)
	case *wire.SamplePut, *wire.SampleList, *wire.SampleGet:
		c.handleSample(message, reply)
	default:
		reply(&wire.Failure{Code: uint16(wire.CodeUnsupported), Detail: "message not known here"})
	}
}

func (c *Core) handleSample(message wire.Message, reply func(wire.Message)) {
	if c.config.Store == nil {
		reply(&wire.Failure{Code: uint16(wire.CodeNotServing), Detail: "no data folder"})
		return
	}
	switch typed := message.(type) {
	case *wire.SamplePut:
		c.config.Store.Put(typed, reply)
	case *wire.SampleList:
		reply(c.config.Store.List(typed))
	case *wire.SampleGet:
		reply(c.config.Store.Get(typed))
	}
}
