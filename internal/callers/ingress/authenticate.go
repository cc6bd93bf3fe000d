package ingress

import (
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// maxAgeForUnknownKey is the maximum age of the configuration at which a node reports a key
// as unknown. An older configuration may lack a key that was declared since.
const maxAgeForUnknownKey = 2 * time.Second

// errStaleConfiguration means that the configuration is too old to accept or reject a key.
var errStaleConfiguration = merry.Sentinel("the configuration is too old to tell whose key it is")

// unauthenticatedError reports that the caller of a request could not be authenticated.
type unauthenticatedError struct {
	// cause is errStaleConfiguration or an error of package tenancy.
	cause error
}

// Error implements error.
func (e *unauthenticatedError) Error() string { return e.cause.Error() }

func (e *unauthenticatedError) Unwrap() error { return e.cause }

// authenticate returns the tenant that a request's API key identifies. It removes the key
// from the headers, so that no replica receives it. The tenant is empty on public routes and
// if the configuration declares no tenants; in the latter case the headers stay unchanged.
// The error is an *unauthenticatedError.
func (h *Handler) authenticate(configuration *directory.Configuration, header http.Header, public bool) (tenant string, err error) {
	if configuration.Tenants == nil {
		return "", nil
	}
	defer h.config.Headers.RemoveKey(header)
	if public {
		return "", nil
	}
	key, err := h.config.Headers.Key(header)
	if err != nil {
		return "", &unauthenticatedError{err}
	}
	age := h.config.ConfigurationAge()
	if maxAge := h.config.MaxConfigurationAge(); maxAge > 0 && age > maxAge {
		return "", &unauthenticatedError{errStaleConfiguration}
	}
	found := configuration.Tenants.Lookup(key)
	switch {
	case found != nil:
		return found.Name, nil
	case age > maxAgeForUnknownKey:
		return "", &unauthenticatedError{errStaleConfiguration}
	}
	return "", &unauthenticatedError{tenancy.ErrUnknownKey}
}

// keyReasons maps the causes of an unauthenticatedError to values of the reason label.
var keyReasons = []struct {
	err  error
	name string
}{
	{tenancy.ErrNoKey, "none"}, {tenancy.ErrMultipleKeys, "several"}, {tenancy.ErrUnsupportedScheme, "scheme"}, {tenancy.ErrMalformedKey, "malformed"},
	{tenancy.ErrUnknownKey, "unknown"}, {errStaleConfiguration, "unproven"},
}

func keyReason(err error) string {
	for _, reason := range keyReasons {
		if errors.Is(err, reason.err) {
			return reason.name
		}
	}
	return "other"
}
