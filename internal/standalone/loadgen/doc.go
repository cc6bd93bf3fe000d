// Package loadgen sends requests to nodes as callers do: open-loop arrivals
// that do not wait for answers, several groups, some unsafe to repeat and sent
// twice. Every answer is checked to be whole and the caller's own.
package loadgen
