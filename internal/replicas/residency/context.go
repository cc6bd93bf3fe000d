package residency

import "context"

// boundsKey is the key of bounds in a context.
type boundsKey struct{}

// WithBounds returns a context for calls that carry a body with the given bounds in the
// request or the response. Bounds that allow every region are not stored.
func WithBounds(ctx context.Context, bounds Bounds) context.Context {
	if !bounds.regions.IsRestricted() {
		return ctx
	}
	return context.WithValue(ctx, boundsKey{}, bounds)
}

// BoundsOf returns the bounds stored in a context, or the zero Bounds.
func BoundsOf(ctx context.Context) Bounds {
	bounds, _ := ctx.Value(boundsKey{}).(Bounds)
	return bounds
}
