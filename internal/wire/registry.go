package wire

import (
	"capnproto.org/go/capnp/v3/schemas"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// Package pogs finds struct layouts by type id in the default registry.
func init() { schema.RegisterSchema(schemas.DefaultRegistry) }
