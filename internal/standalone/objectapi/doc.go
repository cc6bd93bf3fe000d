// Package objectapi is the adapter towards the platform: its object API with
// conditional writes and watches, and its machine list. Another dialect of
// either changes this package alone.
package objectapi
