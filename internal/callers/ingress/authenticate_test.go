package ingress

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// fakeHeaders is a fake of Headers that reads the key from a single header.
type fakeHeaders struct{ Headers }

const testKeyHeader = "X-Key"

func (fakeHeaders) Key(header http.Header) (tenancy.Key, error) {
	if header.Get(testKeyHeader) == "" {
		return "", tenancy.ErrNoKey
	}
	return tenancy.Key(header.Get(testKeyHeader)), nil
}

func (fakeHeaders) RemoveKey(header http.Header) { header.Del(testKeyHeader) }

func TestAuthenticate(t *testing.T) {
	table, _ := tenancy.NewTable([]tenancy.Declaration{{Tenant: tenancy.Tenant{Name: "one"}, Keys: []tenancy.Key{"known"}}})
	declared := &directory.Configuration{Tenants: table}
	for _, test := range []struct {
		name          string
		configuration *directory.Configuration
		key           string
		public        bool
		age, maxAge   time.Duration
		tenant        string
		wantErr       error
		forwarded     string
	}{
		{"known", declared, "known", false, 0, 0, "one", nil, ""},
		{"unknown", declared, "unlisted", false, 0, 0, "", tenancy.ErrUnknownKey, ""},
		{"none", declared, "", false, 0, 0, "", tenancy.ErrNoKey, ""},
		{"public", declared, "unlisted", true, 0, 0, "", nil, ""},
		{"no tenants declared", &directory.Configuration{}, "unlisted", false, 0, 0, "", nil, "unlisted"},
		{"known, old configuration", declared, "known", false, time.Hour, 0, "one", nil, ""},
		{"unknown, old configuration", declared, "unlisted", false, time.Hour, 0, "", errStaleConfiguration, ""},
		{"known, within the maximum age", declared, "known", false, time.Second, 5 * time.Second, "one", nil, ""},
		{"known, beyond the maximum age", declared, "known", false, 6 * time.Second, 5 * time.Second, "", errStaleConfiguration, ""},
	} {
		handler := NewHandler(Config{
			Headers: fakeHeaders{}, ConfigurationAge: func() time.Duration { return test.age }, MaxConfigurationAge: func() time.Duration { return test.maxAge },
		})
		header := http.Header{}
		if test.key != "" {
			header.Set(testKeyHeader, test.key)
		}
		tenant, err := handler.authenticate(test.configuration, header, test.public)
		if tenant != test.tenant || !errors.Is(err, test.wantErr) {
			t.Errorf("%s: got tenant %q, error %v", test.name, tenant, err)
		}
		if got := header.Get(testKeyHeader); got != test.forwarded {
			t.Errorf("%s: forwarded the key header %q", test.name, got)
		}
	}
}
