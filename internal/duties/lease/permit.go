package lease

// Permit allows one call under the lease.
type Permit struct {
	// Holder and Token are what the call names.
	Holder string
	Token  uint64
	keeper *Keeper
}

// Begin allows a call that is sent at once, if the lease is valid now. Done is
// called when it has ended.
func (k *Keeper) Begin() (Permit, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	token, valid := k.config.Lease.Valid()
	if !valid {
		return Permit{}, false
	}
	k.openCalls++
	return Permit{Holder: k.config.Node, Token: token, keeper: k}, true
}

// Done records that the call has ended, and whether it was answered: one that was
// not may still arrive.
func (p Permit) Done(answered bool) {
	p.keeper.mutex.Lock()
	defer p.keeper.mutex.Unlock()
	p.keeper.openCalls--
	if !answered {
		p.keeper.unansweredAt = p.keeper.config.Clock()
	}
}
