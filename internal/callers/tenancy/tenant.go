package tenancy

// Tenant is one of the tenants of a deployment.
type Tenant struct {
	Name string
	// Priority is the priority of the tenant's requests, 0 being the highest; nil means that
	// the route's applies.
	Priority *int
	// AllowedRegions are the regions in which the tenant's requests may be served; empty
	// means all regions.
	AllowedRegions []string
}

// Declaration is a tenant and its API keys as declared by an operator.
type Declaration struct {
	Tenant
	Keys []Key
}
