// Package objectstore declares the metadata store that nodes keep lasting
// state in: objects by kind and name, written on condition, listed and
// watched. The client lives in the adapter of the platform that runs the
// store; everything else depends on this port.
package objectstore
