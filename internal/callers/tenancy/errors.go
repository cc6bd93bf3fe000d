package tenancy

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Errors of a request whose API key identifies no tenant. None contains any part of a key. The
// texts are sent to the caller.
var (
	// ErrNoKey means that a request has no key although the route requires one.
	ErrNoKey = merry.Sentinel("the request carries no key")
	// ErrMultipleKeys means that a request has more than one key.
	ErrMultipleKeys = merry.Sentinel("the request carries several keys")
	// ErrUnsupportedScheme means that the authentication scheme is not that of API keys.
	ErrUnsupportedScheme = merry.Sentinel("the credentials are of another scheme")
	// ErrMalformedKey means that a key is empty or longer than MaxKeyBytes.
	ErrMalformedKey = merry.Sentinel("the key is empty or too long")
	// ErrUnknownKey means that the key belongs to no tenant.
	ErrUnknownKey = merry.Sentinel("no tenant holds the key")
)

// DeclarationError reports an invalid part of the declared tenants. The valid rest is used.
type DeclarationError struct {
	// Tenant is the name of the tenant.
	Tenant string
	// Problem describes the error in the declaration.
	Problem string
}

// Error implements error.
func (e *DeclarationError) Error() string {
	return fmt.Sprintf("declaration of tenant %q: %s", e.Tenant, e.Problem)
}
