package ingress

import (
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// unknownKeyTrustAge is the age of the configuration up to which a node says that a key
// is unknown: an older one may lack a key that has been declared since.
const unknownKeyTrustAge = 2 * time.Second

// errUnprovenKey means that the configuration is too old to accept or deny a key.
var errUnprovenKey = merry.Sentinel("the configuration is too old to tell whose key it is")

// unauthenticatedError is a request whose caller is not known.
type unauthenticatedError struct {
	// cause is errUnprovenKey or an error of package tenancy.
	cause error
}

// Error gives the cause.
func (e *unauthenticatedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unauthenticatedError) Unwrap() error { return e.cause }

// authenticate returns the tenant of a request by its key, and removes the key from the
// headers, so that it goes to no replica. The tenant is empty on public routes, and
// where no tenants are declared; then the headers are left as they came. The error is an
// *unauthenticatedError.
func (h *Handler) authenticate(configuration *directory.Configuration, header http.Header, public bool) (tenant string, err error) {
	if configuration.Tenants == nil {
		return "", nil
	}
	defer h.config.Headers.WithholdKey(header)
	if public {
		return "", nil
	}
	key, err := h.config.Headers.Key(header)
	if err != nil {
		return "", &unauthenticatedError{err}
	}
	age := h.config.ConfigurationAge()
	if bound := h.config.KeyBound(); bound > 0 && age > bound {
		return "", &unauthenticatedError{errUnprovenKey}
	}
	holder := configuration.Tenants.Lookup(key)
	switch {
	case holder != nil:
		return holder.Name, nil
	case age > unknownKeyTrustAge:
		return "", &unauthenticatedError{errUnprovenKey}
	}
	return "", &unauthenticatedError{tenancy.ErrUnknownKey}
}

// keyReasons are the values of the metrics' reason label.
var keyReasons = []struct {
	err  error
	name string
}{
	{tenancy.ErrNoKey, "none"}, {tenancy.ErrSeveralKeys, "several"}, {tenancy.ErrOtherScheme, "scheme"}, {tenancy.ErrMalformedKey, "malformed"},
	{tenancy.ErrUnknownKey, "unknown"}, {errUnprovenKey, "unproven"},
}

func keyReason(err error) string {
	for _, reason := range keyReasons {
		if errors.Is(err, reason.err) {
			return reason.name
		}
	}
	return "other"
}
