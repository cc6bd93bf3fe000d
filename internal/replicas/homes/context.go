package homes

import "context"

// boundsKey is the key of bounds in a context.
type boundsKey struct{}

// WithBounds returns a context for calls that carry a body with some bounds, in the
// request or in its answer. Bounds that allow every region are left out.
func WithBounds(ctx context.Context, bounds Bounds) context.Context {
	if !bounds.homes.Bound() {
		return ctx
	}
	return context.WithValue(ctx, boundsKey{}, bounds)
}

// BoundsOf returns the bounds of what the calls of a context carry.
func BoundsOf(ctx context.Context) Bounds {
	bounds, _ := ctx.Value(boundsKey{}).(Bounds)
	return bounds
}
