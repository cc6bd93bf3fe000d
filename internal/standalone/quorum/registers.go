package quorum

import "github.com/pathtally/pathtally/internal/wire"

// HandlePrepare promises to accept nothing from a smaller ballot and replies with
// the value accepted so far.
func (m *Member) HandlePrepare(request *wire.RegisterPrepare, reply func(wire.Message)) {
	m.vote(request.Epoch, request.Register, request.Ballot, reply, func(*wire.RegisterRecord) {})
}

// HandleAccept accepts a value unless a greater ballot was promised.
func (m *Member) HandleAccept(request *wire.RegisterAccept, reply func(wire.Message)) {
	m.vote(request.Epoch, request.Register, request.Ballot, reply, func(register *wire.RegisterRecord) {
		register.AcceptedBallot = request.Ballot
		register.Value = request.Value
	})
}

// vote promises a ballot, applies the change and replies once both are durable.
// A ballot smaller than the one promised changes nothing.
func (m *Member) vote(epoch uint64, name string, ballot uint64, reply func(wire.Message), change func(*wire.RegisterRecord)) {
	if !m.serves(epoch) {
		reply(&wire.RegisterReply{})
		return
	}
	register := m.register(name)
	granted := ballot >= register.Promised
	if granted {
		register.Promised = ballot
		change(register)
	}
	result := registerReply(granted, register)
	m.persistRegister(register, func() { reply(result) })
}

// register returns the record of a register and creates it if there is none. Each
// use restarts its retention.
func (m *Member) register(name string) *wire.RegisterRecord {
	register := m.registers[name]
	if register == nil {
		register = &wire.RegisterRecord{Register: name}
		m.registers[name] = register
	}
	register.Created = m.config.Clock.Now().UnixMilli()
	return register
}

func registerReply(granted bool, register *wire.RegisterRecord) *wire.RegisterReply {
	return &wire.RegisterReply{
		Granted:        granted,
		Promised:       register.Promised,
		AcceptedBallot: register.AcceptedBallot,
		Value:          register.Value,
	}
}

// mergeRegister merges a copied register into the local one. The value accepted
// with the greatest ballot is kept.
func (m *Member) mergeRegister(copied wire.RegisterRecord) {
	held := m.registers[copied.Register]
	if held == nil {
		m.registers[copied.Register] = &copied
		return
	}
	held.Promised = max(held.Promised, copied.Promised)
	held.Created = max(held.Created, copied.Created)
	if copied.AcceptedBallot > held.AcceptedBallot {
		held.AcceptedBallot = copied.AcceptedBallot
		held.Value = copied.Value
	}
}
