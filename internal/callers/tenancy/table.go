package tenancy

// Table finds tenants by their keys. It is immutable. A nil table is that of a
// configuration that declares no tenants: nobody needs a key.
type Table struct {
	byKey  map[digest]*Tenant
	byName map[string]*Tenant
	// declaresHomes says that some tenant has homes.
	declaresHomes bool
}

// Problems of a declaration.
const (
	problemNoName    = "it has no name"
	problemTwice     = "it is declared twice; the first declaration's priority holds"
	problemMalformed = "one of its keys is empty or too long; that key is ignored"
	problemSharedKey = "it shares a key with another tenant; that key identifies nobody"
)

// NewTable returns the table of the declared tenants, and which parts of them cannot be
// used. A key that two tenants hold identifies neither of them.
func NewTable(declared []Declaration) (*Table, []*DeclarationError) {
	table := &Table{byKey: make(map[digest]*Tenant, len(declared)), byName: make(map[string]*Tenant, len(declared))}
	var findings []*DeclarationError
	shared := map[digest]bool{}
	for _, one := range declared {
		if one.Name == "" {
			findings = append(findings, &DeclarationError{Problem: problemNoName})
			continue
		}
		tenant := table.byName[one.Name]
		if tenant != nil {
			findings = append(findings, &DeclarationError{Tenant: one.Name, Problem: problemTwice})
		} else {
			tenant = &Tenant{Name: one.Name, Priority: one.Priority, AllowedRegions: one.AllowedRegions}
			table.byName[one.Name] = tenant
			table.declaresHomes = table.declaresHomes || len(one.AllowedRegions) > 0
		}
		findings = append(findings, table.addKeys(tenant, one.Keys, shared)...)
	}
	for key := range shared {
		delete(table.byKey, key)
	}
	return table, findings
}

// addKeys adds a tenant's keys, and records in shared those that another tenant holds too.
func (t *Table) addKeys(tenant *Tenant, keys []Key, shared map[digest]bool) []*DeclarationError {
	var findings []*DeclarationError
	for _, key := range keys {
		if len(key) == 0 || len(key) > MaxKeyBytes {
			findings = append(findings, &DeclarationError{Tenant: tenant.Name, Problem: problemMalformed})
			continue
		}
		kept := digestOf(key)
		if holder := t.byKey[kept]; holder != nil && holder != tenant {
			shared[kept] = true
			findings = append(findings, &DeclarationError{Tenant: tenant.Name, Problem: problemSharedKey})
			continue
		}
		t.byKey[kept] = tenant
	}
	return findings
}

// Lookup returns the tenant that holds a key, or nil.
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

// Named returns a tenant by its name, or nil.
func (t *Table) Named(name string) *Tenant {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// PriorityOf returns the rank of a tenant's requests: the tenant's own if it has one,
// else that of the route.
func (t *Table) PriorityOf(name string, route int) int {
	if tenant := t.Named(name); tenant != nil && tenant.Priority != nil {
		return *tenant.Priority
	}
	return route
}

// AllowedRegions returns the only regions in which a tenant's requests may be served; empty for
// all.
func (t *Table) AllowedRegions(name string) []string {
	if tenant := t.Named(name); tenant != nil {
		return tenant.AllowedRegions
	}
	return nil
}

// RestrictsRegions reports whether some tenant's requests may be served in some regions only.
func (t *Table) RestrictsRegions() bool { return t != nil && t.declaresHomes }

// AllowedRegionsByTenant returns the homes of the tenants that have some, by tenant.
func (t *Table) AllowedRegionsByTenant() map[string][]string {
	homes := map[string][]string{}
	if !t.RestrictsRegions() {
		return homes
	}
	for name, tenant := range t.byName {
		if len(tenant.AllowedRegions) > 0 {
			homes[name] = tenant.AllowedRegions
		}
	}
	return homes
}
