package batch

// Arrival is a batch job as it comes to a node, before it is stored.
type Arrival struct {
	// ID is the caller's id of the job.
	ID string
	// Route is the name of the route that took the job, and Host its host.
	Route string
	Host  string
	// Tenant is whose job it is, empty where no tenants are declared.
	Tenant string
	// Entry is the region of the node that the caller connected to.
	Entry string
	// Payload is the submission as its caller sent it, and Submission what it
	// says.
	Payload    []byte
	Submission *Submission
}
