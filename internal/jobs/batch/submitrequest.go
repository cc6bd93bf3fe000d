package batch

// SubmitRequest is a request to submit a batch job.
type SubmitRequest struct {
	// ID is the job id that the caller chose.
	ID string
	// Route is the name of the route that matched the request, and Host the request's
	// host.
	Route string
	Host  string
	// Tenant is the job's tenant, empty where no tenants are declared.
	Tenant string
	// Entry is the region of the node that the caller connected to.
	Entry string
	// Payload is the submission as received, and Submission its decoded form.
	Payload    []byte
	Submission *Submission
}
