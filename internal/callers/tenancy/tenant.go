package tenancy

// Tenant is one of those that share a deployment.
type Tenant struct {
	Name string
	// Priority ranks the tenant's requests, 0 the most urgent; nil leaves that
	// to the route.
	Priority *int
	// AllowedRegions are the only regions in which the tenant's requests may be served; empty
	// for all.
	AllowedRegions []string
}

// Declaration is a tenant with its keys, as an operator declares it.
type Declaration struct {
	Tenant
	Keys []Key
}
