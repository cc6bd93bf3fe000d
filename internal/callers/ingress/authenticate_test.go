package ingress

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// keyHeader stands in for the platform's headers: it reads a key from one field.
type keyHeader struct{ Headers }

const testKeyField = "X-Key"

func (keyHeader) Key(header http.Header) (tenancy.Key, error) {
	if header.Get(testKeyField) == "" {
		return "", tenancy.ErrNoKey
	}
	return tenancy.Key(header.Get(testKeyField)), nil
}

func (keyHeader) WithholdKey(header http.Header) { header.Del(testKeyField) }

func TestCallersAreToldByTheirKeys(t *testing.T) {
	table, _ := tenancy.NewTable([]tenancy.Declared{{Tenant: tenancy.Tenant{Name: "one"}, Keys: []tenancy.Key{"known"}}})
	declared := &directory.Configuration{Tenants: table}
	for _, test := range []struct {
		name          string
		configuration *directory.Configuration
		key           string
		public        bool
		age, bound    time.Duration
		tenant        string
		reason        error
		passed        string
	}{
		{"known", declared, "known", false, 0, 0, "one", nil, ""},
		{"unknown", declared, "strange", false, 0, 0, "", tenancy.ErrUnknownKey, ""},
		{"none", declared, "", false, 0, 0, "", tenancy.ErrNoKey, ""},
		{"public", declared, "strange", true, 0, 0, "", nil, ""},
		{"no tenants declared", &directory.Configuration{}, "strange", false, 0, 0, "", nil, "strange"},
		{"known, long without news", declared, "known", false, time.Hour, 0, "one", nil, ""},
		{"unknown, long without news", declared, "strange", false, time.Hour, 0, "", errUnprovenKey, ""},
		{"known, within the bound", declared, "known", false, time.Second, 5 * time.Second, "one", nil, ""},
		{"known, beyond the bound", declared, "known", false, 6 * time.Second, 5 * time.Second, "", errUnprovenKey, ""},
	} {
		handler := NewHandler(Config{
			Headers: keyHeader{}, ConfigurationAge: func() time.Duration { return test.age }, KeyBound: func() time.Duration { return test.bound },
		})
		header := http.Header{}
		if test.key != "" {
			header.Set(testKeyField, test.key)
		}
		tenant, err := handler.authenticate(test.configuration, header, test.public)
		if tenant != test.tenant || !errors.Is(err, test.reason) {
			t.Errorf("%s: %q, %v", test.name, tenant, err)
		}
		if got := header.Get(testKeyField); got != test.passed {
			t.Errorf("%s: passed on %q", test.name, got)
		}
	}
}
