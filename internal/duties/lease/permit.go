package lease

// Permit permits one call under the lease.
type Permit struct {
	// Holder and Token identify the lease in the call.
	Holder string
	Token  uint64
	keeper *Elector
}

// BeginCall returns a permit for a call that is sent immediately, if the lease is valid now.
// The caller must call Done when the call has ended.
func (k *Elector) BeginCall() (Permit, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	token, valid := k.config.Lease.ValidToken()
	if !valid {
		return Permit{}, false
	}
	k.openCalls++
	return Permit{Holder: k.config.Node, Token: token, keeper: k}, true
}

// Done records that the call has ended and whether it was answered. A call that was not
// answered may still arrive.
func (p Permit) Done(answered bool) {
	p.keeper.mutex.Lock()
	defer p.keeper.mutex.Unlock()
	p.keeper.openCalls--
	if !answered {
		p.keeper.unansweredAt = p.keeper.config.Clock()
	}
}
