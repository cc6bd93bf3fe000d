package tenancy

// Table looks up tenants by API key or name. It is immutable. A nil table belongs to a
// configuration that declares no tenants; requests then need no key.
type Table struct {
	byKey  map[digest]*Tenant
	byName map[string]*Tenant
	// restrictsRegions is set if any tenant has allowed regions.
	restrictsRegions bool
}

// Values of DeclarationError.Problem.
const (
	problemNoName    = "tenant has no name"
	problemDuplicate = "declared more than once; priority and allowed regions are those of the first declaration"
	problemMalformed = "a key is empty or too long; the key is ignored"
	problemSharedKey = "a key is also declared by another tenant; the key identifies no tenant"
)

// NewTable returns the table of the declared tenants, and an error for each invalid part of the
// declarations. A key that several tenants declare identifies none of them.
func NewTable(declared []Declaration) (*Table, []*DeclarationError) {
	table := &Table{byKey: make(map[digest]*Tenant, len(declared)), byName: make(map[string]*Tenant, len(declared))}
	var errs []*DeclarationError
	shared := map[digest]bool{}
	for _, declaration := range declared {
		if declaration.Name == "" {
			errs = append(errs, &DeclarationError{Problem: problemNoName})
			continue
		}
		tenant := table.byName[declaration.Name]
		if tenant != nil {
			errs = append(errs, &DeclarationError{Tenant: declaration.Name, Problem: problemDuplicate})
		} else {
			tenant = &Tenant{Name: declaration.Name, Priority: declaration.Priority, AllowedRegions: declaration.AllowedRegions}
			table.byName[declaration.Name] = tenant
			table.restrictsRegions = table.restrictsRegions || len(declaration.AllowedRegions) > 0
		}
		errs = append(errs, table.addKeys(tenant, declaration.Keys, shared)...)
	}
	for key := range shared {
		delete(table.byKey, key)
	}
	return table, errs
}

// addKeys adds a tenant's keys, and adds to shared those that another tenant declares too.
func (t *Table) addKeys(tenant *Tenant, keys []Key, shared map[digest]bool) []*DeclarationError {
	var errs []*DeclarationError
	for _, key := range keys {
		if len(key) == 0 || len(key) > MaxKeyBytes {
			errs = append(errs, &DeclarationError{Tenant: tenant.Name, Problem: problemMalformed})
			continue
		}
		keyDigest := digestOf(key)
		if other := t.byKey[keyDigest]; other != nil && other != tenant {
			shared[keyDigest] = true
			errs = append(errs, &DeclarationError{Tenant: tenant.Name, Problem: problemSharedKey})
			continue
		}
		t.byKey[keyDigest] = tenant
	}
	return errs
}

// Lookup returns the tenant that a key identifies, or nil.
func (t *Table) Lookup(key Key) *Tenant {
	if t == nil || len(key) == 0 || len(key) > MaxKeyBytes {
		return nil
	}
	return t.byKey[digestOf(key)]
}

// Len returns the number of tenants.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byName)
}

// Named returns the tenant with a name, or nil.
func (t *Table) Named(name string) *Tenant {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// PriorityOf returns the priority of a tenant's requests: that of the tenant if it has one,
// else that of the route.
func (t *Table) PriorityOf(name string, route int) int {
	if tenant := t.Named(name); tenant != nil && tenant.Priority != nil {
		return *tenant.Priority
	}
	return route
}

// AllowedRegions returns the regions in which a tenant's requests may be served; empty means
// all regions.
func (t *Table) AllowedRegions(name string) []string {
	if tenant := t.Named(name); tenant != nil {
		return tenant.AllowedRegions
	}
	return nil
}

// RestrictsRegions reports whether any tenant has allowed regions.
func (t *Table) RestrictsRegions() bool { return t != nil && t.restrictsRegions }

// AllowedRegionsByTenant returns the allowed regions by tenant name. Tenants without allowed
// regions are left out.
func (t *Table) AllowedRegionsByTenant() map[string][]string {
	regions := map[string][]string{}
	if !t.RestrictsRegions() {
		return regions
	}
	for name, tenant := range t.byName {
		if len(tenant.AllowedRegions) > 0 {
			regions[name] = tenant.AllowedRegions
		}
	}
	return regions
}
