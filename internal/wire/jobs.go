package wire

// JobFind asks one of the nodes that are told of a batch job who runs it.
type JobFind struct {
	Job string
}

// JobFound answers a JobFind.
type JobFound struct {
	Known bool
	// Owner is the node that runs the job, and the process there.
	Owner PeerAddress
	// Epoch counts the job's owners; 0 for unknown.
	Epoch uint32
	Ended bool
	// Tenant is whose job it is, if TenantKnown.
	Tenant      string
	TenantKnown bool
}

// JobRead asks the node that runs a batch job for results.
type JobRead struct {
	Job    string
	After  uint32
	WaitMs uint32
}

// JobPage answers a JobRead.
type JobPage struct {
	Known   bool
	Total   uint32
	Results []byte
}

// JobItem asks the node that runs a batch job for an item's body.
type JobItem struct {
	Job  string
	Item string
}

// JobItemBody answers a JobItem.
type JobItemBody struct {
	Known bool
	Found bool
	Body  []byte
}

// JobEnd tells the node that runs a batch job that its caller has ended it.
type JobEnd struct{ Job string }

// JobOffer asks a node whether it would run a batch job. Done is the answer of
// one that would.
type JobOffer struct{ Job string }

// JobSubmit has a node accept a batch job and run it.
type JobSubmit struct {
	Job   string
	Route string
	Host  string
	// Payload is the submission as its caller sent it.
	Payload []byte
	// Tenant is whose job it is, empty where no tenants are declared.
	Tenant string
	// Entry is the region of the node that the caller connected to.
	Entry string
}

// JobSubmitted answers a JobSubmit.
type JobSubmitted struct {
	// Outcome is OutcomeDone for an accepted job, OutcomeNotRun for one of which
	// nothing will run, else OutcomeUnknown.
	Outcome uint8
	Detail  string
}
