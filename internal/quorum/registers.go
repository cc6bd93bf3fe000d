package quorum

import "github.com/pathtally/pathtally/internal/wire"

// HandlePrepare promises to accept nothing from an older ballot, and tells
// what has been accepted.
func (m *Member) HandlePrepare(request *wire.RegisterPrepare, reply func(wire.Message)) {
	if !m.serves(request.Epoch) {
		reply(&wire.RegisterReply{})
		return
	}
	register := m.register(request.Register)
	granted := request.Ballot >= register.Promised
	if granted {
		register.Promised = request.Ballot
	}
	answer := registerReply(granted, register)
	m.persistRegister(register, func() { reply(answer) })
}

// HandleAccept accepts a value unless a newer ballot was promised.
func (m *Member) HandleAccept(request *wire.RegisterAccept, reply func(wire.Message)) {
	if !m.serves(request.Epoch) {
		reply(&wire.RegisterReply{})
		return
	}
	register := m.register(request.Register)
	granted := request.Ballot >= register.Promised
	if granted {
		register.Promised = request.Ballot
		register.AcceptedBallot = request.Ballot
		register.Value = request.Value
	}
	answer := registerReply(granted, register)
	m.persistRegister(register, func() { reply(answer) })
}

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
