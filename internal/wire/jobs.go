package wire

// JobFind asks one of the nodes that are informed about a batch job for the job's owner.
type JobFind struct {
	Job string
}

// JobFound is the reply to a JobFind.
type JobFound struct {
	Known bool
	// Owner is the node that runs the job, with the incarnation of its process.
	Owner PeerAddress
	// Epoch is the number of owners that the job has had; 0 if unknown.
	Epoch uint32
	Ended bool
	// Tenant is the tenant of the job if TenantKnown is set.
	Tenant      string
	TenantKnown bool
}

// JobRead asks the owner of a batch job for results.
type JobRead struct {
	Job string
	// After is the number of results that the reader already has.
	After uint32
	// WaitMs is how long the owner may delay its reply until there are results.
	WaitMs uint32
}

// JobPage is the reply to a JobRead. Known is false if the receiver does not run the job.
type JobPage struct {
	Known bool
	Total uint32
	// Results is JSON, as encoded by package batch.
	Results []byte
}

// JobItem asks the owner of a batch job for the body of an item.
type JobItem struct {
	Job  string
	Item string
}

// JobItemBody is the reply to a JobItem. Known is false if the receiver does not run the job.
type JobItemBody struct {
	Known bool
	Found bool
	Body  []byte
}

// JobEnd informs the owner of a batch job that the caller has ended the job.
type JobEnd struct{ Job string }

// JobOffer asks a node whether it would run a batch job. A node that would replies with Done.
type JobOffer struct{ Job string }

// JobSubmit asks a node to accept a batch job and run it.
type JobSubmit struct {
	Job   string
	Route string
	Host  string
	// Payload is the caller's request body, unchanged.
	Payload []byte
	// Tenant is the tenant of the job; empty if no tenants are declared.
	Tenant string
	// Entry is the region of the node to which the caller sent the job.
	Entry string
}

// JobSubmitted is the reply to a JobSubmit.
type JobSubmitted struct {
	// Outcome is OutcomeDone if the job is accepted, OutcomeNotRun if none of it will run,
	// otherwise OutcomeUnknown.
	Outcome uint8
	Detail  string
}
