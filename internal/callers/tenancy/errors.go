package tenancy

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

// Reasons for which a request identifies no tenant. None of them holds any part
// of a key.
var (
	// ErrNoKey means that a request carries no key where one is needed.
	ErrNoKey = merry.Sentinel("the request carries no key")
	// ErrMultipleKeys means that a request carries more than one key.
	ErrMultipleKeys = merry.Sentinel("the request carries several keys")
	// ErrUnsupportedScheme means that the credentials are not an API key.
	ErrUnsupportedScheme = merry.Sentinel("the credentials are of another scheme")
	// ErrMalformedKey means that a key is empty or longer than any key.
	ErrMalformedKey = merry.Sentinel("the key is empty or too long")
	// ErrUnknownKey means that no tenant holds the key.
	ErrUnknownKey = merry.Sentinel("no tenant holds the key")
)

// DeclarationError is a part of the declared tenants that cannot be used. The
// rest of them is in force.
type DeclarationError struct {
	// Tenant is the name of the tenant concerned.
	Tenant string
	// Problem says what is wrong with its declaration.
	Problem string
}

// Error names the tenant and the problem.
func (e *DeclarationError) Error() string {
	return fmt.Sprintf("declaration of tenant %q: %s", e.Tenant, e.Problem)
}
