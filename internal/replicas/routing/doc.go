// Package routing picks an engine for each request and rollout. A plan holds
// the engines that the rules in force allow a traffic group or a trainer; it
// is immutable and read through an atomic pointer. A pick draws a few
// candidates (the prompt's cache home, two near, two anywhere), filters them,
// scores the rest and takes the best, without allocating.
package routing
