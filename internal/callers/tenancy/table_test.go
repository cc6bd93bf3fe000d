package tenancy

import (
	"encoding/json"
	"fmt"
	mathrand "math/rand"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/quick"
)

func priority(value int) *int { return &value }

func TestTableLookup(t *testing.T) {
	table, errs := NewTable([]Declaration{
		{Tenant: Tenant{Name: "one", Priority: priority(0)}, Keys: []Key{"a", "b"}},
		{Tenant: Tenant{Name: "two"}, Keys: []Key{"c"}},
		{Tenant: Tenant{Name: "none"}},
	})
	if len(errs) != 0 {
		t.Fatalf("got errors %v", errs)
	}
	for key, want := range map[Key]string{"a": "one", "b": "one", "c": "two"} {
		if tenant := table.Lookup(key); tenant == nil || tenant.Name != want {
			t.Errorf("a key of %s identifies tenant %v", want, tenant)
		}
	}
	for _, key := range []Key{"", "d", "A", Key(strings.Repeat("x", MaxKeyBytes+1))} {
		if tenant := table.Lookup(key); tenant != nil {
			t.Errorf("an undeclared key identifies %s", tenant.Name)
		}
	}
	if got := table.PriorityOf("one", 2); got != 0 {
		t.Errorf("priority %d, want the tenant's, 0", got)
	}
	if got := table.PriorityOf("two", 2); got != 2 {
		t.Errorf("priority %d, want the route's, 2", got)
	}
	var undeclared *Table
	if undeclared.Lookup("a") != nil || undeclared.PriorityOf("one", 3) != 3 {
		t.Error("a nil table identifies a tenant or changes a priority")
	}
}

func TestNewTableReportsInvalidDeclarations(t *testing.T) {
	const secret = "sekrit-key"
	for _, test := range []struct {
		name     string
		declared []Declaration
		problem  string
		holder   string
	}{
		{"no name", []Declaration{{Keys: []Key{secret}}}, problemNoName, ""},
		{"empty key", []Declaration{{Tenant: Tenant{Name: "one"}, Keys: []Key{"", secret}}}, problemMalformed, "one"},
		{"overlong key", []Declaration{{Tenant: Tenant{Name: "one"}, Keys: []Key{Key(strings.Repeat(secret, 100)), secret}}}, problemMalformed, "one"},
		{"shared key", []Declaration{{Tenant: Tenant{Name: "one"}, Keys: []Key{secret}}, {Tenant: Tenant{Name: "two"}, Keys: []Key{secret}}}, problemSharedKey, ""},
		{"declared twice", []Declaration{{Tenant: Tenant{Name: "one"}, Keys: []Key{"x"}}, {Tenant: Tenant{Name: "one"}, Keys: []Key{secret}}}, problemDuplicate, "one"},
	} {
		table, errs := NewTable(test.declared)
		if len(errs) != 1 || errs[0].Problem != test.problem {
			t.Errorf("%s: got errors %v", test.name, errs)
		}
		if strings.Contains(fmt.Sprint(errs), secret) {
			t.Errorf("%s: an error contains the key", test.name)
		}
		holder := ""
		if tenant := table.Lookup(secret); tenant != nil {
			holder = tenant.Name
		}
		if holder != test.holder {
			t.Errorf("%s: the key identifies %q, want %q", test.name, holder, test.holder)
		}
	}
}

// Guards against a key that identifies the last of three tenants that declare it.
func TestKeySharedByThreeTenants(t *testing.T) {
	declared := []Declaration{}
	for _, name := range []string{"one", "two", "three"} {
		declared = append(declared, Declaration{Tenant: Tenant{Name: name}, Keys: []Key{"k"}})
	}
	table, errs := NewTable(declared)
	if tenant := table.Lookup("k"); tenant != nil || len(errs) != 2 {
		t.Errorf("the key identifies %v, errors %v", tenant, errs)
	}
}

func TestKeyIsRedacted(t *testing.T) {
	const key = Key("sekrit")
	encoded, err := json.Marshal(struct{ K Key }{key})
	if err != nil {
		t.Fatal(err)
	}
	for _, printed := range []string{fmt.Sprint(key), fmt.Sprintf("%v %+v %#v %s", key, key, key, key), string(encoded)} {
		if strings.Contains(printed, "sekrit") {
			t.Errorf("the key is contained in %q", printed)
		}
	}
}

func TestLookupDoesNotAllocate(t *testing.T) {
	table, _ := NewTable([]Declaration{{Tenant: Tenant{Name: "one"}, Keys: []Key{"some-key-of-usual-length"}}})
	if allocated := testing.AllocsPerRun(100, func() { table.Lookup("some-key-of-usual-length") }); allocated != 0 {
		t.Errorf("Lookup made %v allocations, want 0", allocated)
	}
}

// Checks on random declarations that a key identifies a tenant exactly if only that tenant
// declares it.
func TestLookupMatchesDeclarations(t *testing.T) {
	holds := func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		declared := make([]Declaration, random.IntN(6))
		holders := map[Key]map[string]bool{}
		for i := range declared {
			name := fmt.Sprint("tenant-", random.IntN(5))
			declared[i].Name = name
			for range random.IntN(4) {
				key := Key(fmt.Sprint("key-", random.IntN(8)))
				declared[i].Keys = append(declared[i].Keys, key)
				if holders[key] == nil {
					holders[key] = map[string]bool{}
				}
				holders[key][name] = true
			}
		}
		table, _ := NewTable(declared)
		for number := range 9 {
			key := Key(fmt.Sprint("key-", number))
			tenant := table.Lookup(key)
			if len(holders[key]) != 1 {
				if tenant != nil {
					return false
				}
				continue
			}
			if tenant == nil || !holders[key][tenant.Name] {
				return false
			}
		}
		return true
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 5000, Rand: mathrand.New(mathrand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}
