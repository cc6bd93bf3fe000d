package wire

import (
	"capnproto.org/go/capnp/v3/schemas"

	"github.com/pathtally/pathtally/internal/wire/schema"
)

// Package pogs looks up struct layouts by type ID in the default registry.
func init() { schema.RegisterSchema(schemas.DefaultRegistry) }
