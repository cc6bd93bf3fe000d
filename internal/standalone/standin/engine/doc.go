// Package engine stands in for a model engine: the model of package
// enginemodel on the wall clock, behind the HTTP interface of real engines.
package engine
