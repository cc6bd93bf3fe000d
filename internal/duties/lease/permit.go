package lease

// Permit permits one call under the lease.
type Permit struct {
	// Holder and Token identify the lease in the call.
	Holder  string
	Token   uint64
	elector *Elector
}

// BeginCall returns a permit for a call that is sent immediately, if the lease is valid now.
// The caller must call Done when the call has ended.
func (e *Elector) BeginCall() (Permit, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	token, valid := e.config.Lease.ValidToken()
	if !valid {
		return Permit{}, false
	}
	e.openCalls++
	return Permit{Holder: e.config.Node, Token: token, elector: e}, true
}

// Done records that the call has ended and whether it was answered. A call that was not
// answered may still arrive.
func (p Permit) Done(answered bool) {
	p.elector.mutex.Lock()
	defer p.elector.mutex.Unlock()
	p.elector.openCalls--
	if !answered {
		p.elector.unansweredAt = p.elector.config.Clock()
	}
}
